#include "LoadTool/Player.h"

#include <algorithm>

#include "LoadTool/SseEvents.h"

namespace LaburnumChute::LoadTool {

namespace {

constexpr int MaxTries = 6;
constexpr Common::seconds LongestWait{60};
constexpr Common::milliseconds FirstPause{100};
constexpr int MaxStateQuestions = 20;
constexpr std::size_t TokenBytes = 4;
constexpr std::size_t ReadBlock = 16UL * 1024;

Common::Time now()
{
    return std::chrono::steady_clock::now();
}

std::uint64_t nowMs()
{
    return Common::toUnixMilliseconds(std::chrono::system_clock::now());
}

} // namespace

Player::Errand::Errand(const asio::any_io_executor &executor, const CallerGroup &group)
    : group(group)
    , patience(executor)
{
}

Player::Player(asio::io_context &context, const Plan &plan)
    : context_(context)
    , plan_(plan)
    , connections_(context.get_executor())
    , entries_(context.get_executor(), connections_, plan)
    , random_(plan.seed)
    , runName_(fmt::format("{:x}", nowMs()))
{
    for (const auto &group : plan.groups) {
        auto &texts = prefixTexts_[group.name];
        for (std::size_t i = 0; i < group.prefixes; ++i) {
            texts.push_back(words(draw(group.prefixTokens)));
        }
    }
}

asio::awaitable<void> Player::play()
{
    asio::steady_timer timer(context_);
    if (plan_.straight.empty()) {
        asio::co_spawn(context_, entries_.keepAsking(), asio::detached);
    }
    while (!entries_.ready()) {
        timer.expires_after(Common::milliseconds(20));
        co_await timer.async_wait(asio::use_awaitable);
    }
    for (const auto &group : plan_.groups) {
        asio::co_spawn(context_, arrivals(group), asio::detached);
    }
    timer.expires_after(plan_.duration);
    co_await timer.async_wait(asio::use_awaitable);
    arriving_ = false;
    while (open_ > 0) {
        timer.expires_after(Common::milliseconds(20));
        co_await timer.async_wait(asio::use_awaitable);
    }
}

asio::awaitable<void> Player::arrivals(const CallerGroup &group)
{
    asio::steady_timer timer(context_);
    std::exponential_distribution<double> spacing(group.ratePerSecond);
    auto next = now();
    for (;;) {
        const std::chrono::duration<double> gap(spacing(random_));
        next += std::chrono::duration_cast<Common::Duration>(gap);
        timer.expires_at(next);
        co_await timer.async_wait(asio::use_awaitable);
        if (!arriving_) {
            co_return;
        }
        launch(makeErrand(group, {}));
    }
}

std::string Player::words(std::size_t tokens)
{
    std::string text;
    text.reserve(tokens * TokenBytes);
    for (std::size_t i = 0; i < tokens; ++i) {
        for (int letter = 0; letter < 3; ++letter) {
            text += static_cast<char>('a' + random_() % 26);
        }
        text += ' ';
    }
    return text;
}

std::size_t Player::draw(const Range &range)
{
    return std::uniform_int_distribution<std::size_t>(range.from, range.to)(random_);
}

Player::ErrandPointer Player::makeErrand(const CallerGroup &group, const std::string &supersedes)
{
    auto errand = std::make_shared<Errand>(context_.get_executor(), group);
    auto &outcome = errand->outcome;
    outcome.id = fmt::format("{}-{}", runName_, ++started_);
    outcome.group = group.name;
    outcome.region = group.region;
    outcome.model = group.kind != CallKind::Service;
    outcome.homeOnly = group.homeOnly;
    outcome.wanted = std::uniform_real_distribution<double>()(random_) < group.wantedShare;
    errand->supersedes = supersedes;
    errand->leavesAfter = LongestWait;
    if (!outcome.wanted) {
        std::exponential_distribution<double> patience(1 / Common::toSeconds(group.patience));
        const std::chrono::duration<double> stay(patience(random_));
        errand->leavesAfter = std::min<Common::Duration>(
            LongestWait, std::chrono::duration_cast<Common::Duration>(stay));
    }
    writePrompt(*errand);
    return errand;
}

void Player::writePrompt(Errand &errand)
{
    const auto &group = errand.group;
    const auto &texts = prefixTexts_[group.name];
    const auto line = words(draw(group.lineTokens));
    errand.answerTokens = draw(group.answerTokens);
    if (group.kind == CallKind::Service) {
        errand.body = nlohmann::json({{"line", line}}).dump();
        return;
    }
    const auto &prefix = texts[random_() % texts.size()];
    nlohmann::json body = {{"model", group.target}, {"max_tokens", errand.answerTokens}};
    if (group.kind == CallKind::Chat) {
        body["stream"] = true;
        body["messages"] = nlohmann::json::array(
            {{{"role", "system"}, {"content", prefix}}, {{"role", "user"}, {"content", line}}});
        errand.prompt = "system\n" + prefix + "\nuser\n" + line + "\n";
    } else {
        body["prompt"] = prefix + line;
        errand.prompt = prefix + line;
    }
    errand.body = body.dump();
}

void Player::launch(const ErrandPointer &errand)
{
    ++open_;
    errand->startedAt = now();
    errand->outcome.startedAtMs = nowMs();
    asio::co_spawn(context_, watchPatience(errand), asio::detached);
    asio::co_spawn(context_, serve(errand), asio::detached);
}

asio::awaitable<void> Player::watchPatience(ErrandPointer errand)
{
    boost::system::error_code error;
    errand->patience.expires_at(errand->startedAt + errand->leavesAfter);
    co_await errand->patience.async_wait(asio::redirect_error(asio::use_awaitable, error));
    if (!error && !errand->finished) {
        leave(errand);
    }
}

void Player::leave(const ErrandPointer &errand)
{
    auto &outcome = errand->outcome;
    errand->left = true;
    outcome.cancelledAtMs = nowMs();
    if (outcome.wanted) {
        outcome.lastProblem = "the caller's last bound";
    }
    const bool retypes =
        arriving_ && std::uniform_real_distribution<double>()(random_) < errand->group.retypeShare;
    if (retypes) {
        launch(makeErrand(errand->group, outcome.tryIds.empty() ? "" : outcome.tryIds.back()));
    }
    // Half of those who retype leave the old connection to the system, which the new request tells
    // what it supersedes.
    if (retypes && random_() % 2 == 0) {
        return;
    }
    if (errand->connection) {
        errand->connection->close();
    }
}

asio::awaitable<void> Player::serve(ErrandPointer errand)
{
    auto &outcome = errand->outcome;
    asio::steady_timer timer(context_);
    Common::Duration pause = FirstPause;
    for (int tries = 0; tries < MaxTries && !errand->left; ++tries) {
        errand->pause = {};
        const auto end = co_await attempt(errand);
        if (end == TryEnd::Over || errand->left) {
            break;
        }
        if (end == TryEnd::Unknown) {
            const bool again = co_await settleUnknown(errand);
            if (!again) {
                break;
            }
        }
        timer.expires_after(std::max(errand->pause, pause));
        co_await timer.async_wait(asio::use_awaitable);
        pause *= 2;
    }
    errand->finished = true;
    errand->patience.cancel();
    if (errand->left && !outcome.wanted) {
        outcome.end = End::Cancelled;
    }
    outcome.total = now() - errand->startedAt;
    outcomes_.push_back(std::move(outcome));
    --open_;
}

http::request<http::string_body> Player::request(const Errand &errand, const std::string &address,
                                                 const std::string &tryId) const
{
    const auto &group = errand.group;
    std::map<std::string, std::string> headers;
    headers["X-Request-Id"] = tryId;
    if (!group.token.empty()) {
        headers["Authorization"] = "Bearer " + group.token;
    }
    headers["Laburnumchute-Home-Region"] = group.region;
    if (!group.priority.empty()) {
        headers["Laburnumchute-Priority"] = group.priority;
    }
    if (!errand.supersedes.empty()) {
        headers["Laburnumchute-Supersedes"] = errand.supersedes;
    }
    if (!errand.outcome.idempotencyKey.empty()) {
        headers["Idempotency-Key"] = errand.outcome.idempotencyKey;
    }
    auto method = http::verb::post;
    std::string target = "/v1/chat/completions";
    if (group.kind == CallKind::Completion) {
        target = "/v1/completions";
    } else if (group.kind == CallKind::Service) {
        method = http::string_to_verb(group.method);
        target = plan_.straight.empty() ? "/services/" + group.target + group.path : group.path;
    }
    const bool hasBody = method != http::verb::get;
    return makeRequest(method, address, target, headers, hasBody ? errand.body : std::string());
}

asio::awaitable<Player::TryEnd> Player::attempt(ErrandPointer errand)
{
    auto &outcome = errand->outcome;
    outcome.end = End::Broken;
    const bool needsKey = !errand->group.repeatable;
    if (needsKey && errand->keyEntry.empty()) {
        const bool got = co_await fetchKey(errand);
        if (!got) {
            co_return TryEnd::Again;
        }
    }
    const auto address = needsKey ? errand->keyEntry : entries_.choose(errand->group, random_);
    if (address.empty()) {
        outcome.lastProblem = "no advice";
        co_return TryEnd::Again;
    }
    ++outcome.tries;
    const auto tryId =
        outcome.tries == 1 ? outcome.id : fmt::format("{}-{}", outcome.id, outcome.tries);
    outcome.tryIds.push_back(tryId);
    // As client libraries do, a caller reuses a connection only for what may be repeated.
    errand->connection = co_await connections_.take(address, !needsKey);
    if (errand->left) {
        co_return TryEnd::Over;
    }
    if (!errand->connection) {
        entries_.failed(address);
        outcome.lastProblem = "no connection";
        co_return TryEnd::Again;
    }
    const auto message = request(*errand, address, tryId);
    const bool sent = co_await errand->connection->send(message);
    if (!sent) {
        co_return broken(*errand);
    }
    const auto head = co_await errand->connection->readHead();
    if (!head) {
        entries_.failed(address);
        co_return broken(*errand);
    }
    outcome.lastStatus = head->status;
    TryEnd end = TryEnd::Over;
    if (head->status != 200) {
        end = co_await readRefusal(errand, *head, tryId);
    } else if (errand->group.kind == CallKind::Chat) {
        end = co_await readStream(errand, tryId);
    } else {
        end = co_await readWhole(errand, tryId);
    }
    connections_.giveBack(address, std::move(errand->connection));
    errand->connection = nullptr;
    co_return end;
}

Player::TryEnd Player::broken(Errand &errand) const
{
    errand.outcome.end = End::Broken;
    errand.outcome.lastProblem = "the connection broke";
    return errand.group.repeatable ? TryEnd::Again : TryEnd::Unknown;
}

asio::awaitable<bool> Player::fetchKey(ErrandPointer errand)
{
    auto &outcome = errand->outcome;
    const auto address = entries_.choose(errand->group, random_);
    if (address.empty()) {
        co_return false;
    }
    if (!plan_.straight.empty()) {
        errand->keyEntry = address;
        outcome.idempotencyKey = outcome.id;
        co_return true;
    }
    std::map<std::string, std::string> headers;
    headers["Authorization"] = "Bearer " + errand->group.token;
    auto message = makeRequest(http::verb::post, address, "/v1/idempotency-keys", headers, "{}");
    const auto answer = co_await call(connections_, address, std::move(message));
    if (!answer || answer->head.status / 100 != 2) {
        entries_.failed(address);
        outcome.lastStatus = answer ? answer->head.status : 0;
        outcome.lastProblem = "no idempotency key";
        co_return false;
    }
    const auto body = nlohmann::json::parse(answer->body, nullptr, false);
    outcome.idempotencyKey = body.is_object() ? body.value("key", "") : "";
    errand->keyEntry = address;
    co_return !outcome.idempotencyKey.empty();
}

asio::awaitable<bool> Player::settleUnknown(ErrandPointer errand)
{
    auto &outcome = errand->outcome;
    outcome.end = End::Unknown;
    asio::steady_timer timer(context_);
    std::map<std::string, std::string> headers;
    headers["Authorization"] = "Bearer " + errand->group.token;
    for (int question = 0; question < MaxStateQuestions; ++question) {
        auto message = makeRequest(http::verb::get, errand->keyEntry,
                                   "/v1/idempotency-keys/" + outcome.idempotencyKey, headers, "");
        const auto answer = co_await call(connections_, errand->keyEntry, std::move(message));
        std::string state;
        if (answer && answer->head.status == 200) {
            const auto body = nlohmann::json::parse(answer->body, nullptr, false);
            state = body.is_object() ? body.value("state", "") : "";
        }
        if (state == "ran") {
            outcome.end = End::Complete;
            co_return false;
        }
        if (state == "unused") {
            co_return true;
        }
        if (state == "unknown" || state == "expired") {
            co_return false;
        }
        timer.expires_after(Common::milliseconds(250));
        co_await timer.async_wait(asio::use_awaitable);
    }
    co_return false;
}

asio::awaitable<Player::TryEnd> Player::readStream(ErrandPointer errand, std::string tryId)
{
    auto &outcome = errand->outcome;
    AnswerCheck check(tryId, errand->prompt);
    SseEvents events;
    std::vector<char> block(ReadBlock);
    auto last = now();
    bool done = false;
    for (;;) {
        const auto got = co_await errand->connection->readSome(block.data(), block.size());
        if (!got || *got == 0) {
            break;
        }
        for (const auto &event : events.feed({block.data(), *got})) {
            if (event.name == "error") {
                co_return takeProblem(*errand, event.data, tryId);
            }
            done = done || event.data == "[DONE]";
            const auto part = parsePart(event.data);
            if (!part || part->text.empty()) {
                continue;
            }
            check.take(part->id, part->engine, part->text);
            const auto at = now();
            if (!outcome.firstToken) {
                outcome.firstToken = at - errand->startedAt;
            } else {
                outcome.gaps.push_back(at - last);
            }
            last = at;
        }
    }
    outcome.tokens = check.tokens();
    outcome.servedBy = check.engine();
    outcome.corrupt = check.fault();
    if (!done) {
        co_return broken(*errand);
    }
    if (outcome.corrupt.empty() && outcome.tokens != errand->answerTokens && !errand->left) {
        outcome.corrupt = fmt::format("{} of {} tokens", outcome.tokens, errand->answerTokens);
    }
    outcome.end = End::Complete;
    co_return TryEnd::Over;
}

asio::awaitable<Player::TryEnd> Player::readWhole(ErrandPointer errand, std::string tryId)
{
    const auto body = co_await errand->connection->readRest();
    if (!body) {
        co_return broken(*errand);
    }
    errand->outcome.firstToken = now() - errand->startedAt;
    errand->outcome.whole = true;
    co_return takeWhole(*errand, tryId, *body);
}

Player::TryEnd Player::takeWhole(Errand &errand, const std::string &tryId, const std::string &body)
{
    auto &outcome = errand.outcome;
    outcome.end = End::Complete;
    const auto json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object()) {
        outcome.corrupt = "the answer is not JSON";
        return TryEnd::Over;
    }
    if (errand.group.kind == CallKind::Service) {
        outcome.servedBy = json.value("id", "");
        const bool own = json.value("request_id", "").rfind(tryId, 0) == 0;
        const bool same = errand.group.method == "GET" || json.value("received", "") == errand.body;
        outcome.corrupt = own && same ? "" : "the answer to another request";
        return TryEnd::Over;
    }
    AnswerCheck check(tryId, errand.prompt);
    if (const auto part = parsePart(body)) {
        check.take(part->id, part->engine, part->text);
    }
    outcome.tokens = check.tokens();
    outcome.servedBy = check.engine();
    outcome.corrupt = check.fault();
    if (outcome.corrupt.empty() && outcome.tokens != errand.answerTokens) {
        outcome.corrupt = fmt::format("{} of {} tokens", outcome.tokens, errand.answerTokens);
    }
    return TryEnd::Over;
}

asio::awaitable<Player::TryEnd> Player::readRefusal(ErrandPointer errand, ResponseHead head,
                                                    std::string tryId)
{
    auto &outcome = errand->outcome;
    const auto body = co_await errand->connection->readRest();
    if (!head.retryAfter.empty()) {
        errand->pause = Common::seconds(std::strtol(head.retryAfter.c_str(), nullptr, 10));
    }
    const auto end = takeProblem(*errand, body.value_or(""), tryId);
    outcome.end = End::Refused;
    const bool mayHelp =
        head.status == 408 || head.status == 409 || head.status == 429 || head.status >= 500;
    co_return mayHelp ? end : TryEnd::Over;
}

Player::TryEnd Player::takeProblem(Errand &errand, const std::string &body,
                                   const std::string &tryId)
{
    auto &outcome = errand.outcome;
    const auto problem = nlohmann::json::parse(body, nullptr, false);
    const auto run = problem.is_object() ? problem.value("run", "") : "";
    outcome.lastProblem = problem.is_object() ? problem.value("type", "") : body.substr(0, 80);
    if (run == "not run") {
        outcome.notRun.push_back(tryId);
    }
    outcome.end = End::Broken;
    return errand.group.repeatable || run == "not run" ? TryEnd::Again : TryEnd::Unknown;
}

} // namespace LaburnumChute::LoadTool
