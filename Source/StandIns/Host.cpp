#include "StandIns/Host.h"

namespace LaburnumChute::StandIns {

Host::Host(asio::io_context &context, const nlohmann::json &scenario)
    : context_(context)
    , listen_(scenario.value("control", "127.0.0.1:0"))
    , control_(context,
               [this](ConnectionPointer connection) { return handle(std::move(connection)); })
    , proxy_(context)
{
    for (const auto &engine : scenario.value("engines", nlohmann::json::array())) {
        engines_.emplace_back(context, EngineSettings(engine));
    }
    for (const auto &service : scenario.value("services", nlohmann::json::array())) {
        services_.emplace_back(context, ServiceSettings(service));
    }
    if (scenario.contains("configuration")) {
        configuration_.emplace(context, scenario.at("configuration"));
    }
    if (scenario.contains("instances")) {
        instances_.emplace(context, scenario.at("instances"));
    }
    if (scenario.contains("directory")) {
        directory_.emplace(context, scenario.at("directory"));
    }
    if (scenario.contains("weights")) {
        weights_.emplace(context, scenario.at("weights"));
    }
    const auto links = scenario.value("links", nlohmann::json::object());
    for (const auto &[id, link] : links.items()) {
        proxy_.setLink(id, link);
    }
    for (const auto &proxy : scenario.value("proxies", nlohmann::json::array())) {
        proxy_.add(proxy);
    }
}

void Host::start()
{
    control_.listen(listen_);
    for (auto &engine : engines_) {
        engine.start();
    }
    for (auto &service : services_) {
        service.start();
    }
    if (configuration_) {
        configuration_->start();
    }
    if (instances_) {
        instances_->start();
    }
    if (directory_) {
        directory_->start();
    }
    if (weights_) {
        weights_->start();
    }
}

nlohmann::json Host::addresses() const
{
    nlohmann::json all = {{"control", control_.address()}};
    for (const auto &engine : engines_) {
        all[engine.id()] = engine.address();
    }
    for (const auto &service : services_) {
        all[service.id()] = service.address();
    }
    if (configuration_) {
        all["configuration"] = configuration_->address();
    }
    if (instances_) {
        all["instances"] = instances_->address();
    }
    if (directory_) {
        all["directory"] = directory_->address();
    }
    if (weights_) {
        all["weights"] = weights_->address();
    }
    all.update(proxy_.addresses());
    return all;
}

asio::awaitable<void> Host::handle(ConnectionPointer connection)
{
    const auto &request = connection->request();
    const auto target =
        parseTarget(std::string_view(request.target().data(), request.target().size()));
    const auto [status, body] = answer(request.method(), target, request.body());
    const auto text = body.dump();
    co_await connection->respond(status, text);
}

std::pair<http::status, nlohmann::json> Host::answer(http::verb method, const Target &target,
                                                     const std::string &body)
{
    if (method == http::verb::get) {
        if (target.path == "/addresses") {
            return {http::status::ok, addresses()};
        }
        if (target.path == "/record") {
            return {http::status::ok, record(target.value("times") == "true")};
        }
        return {http::status::not_found, {{"error", "no such call"}}};
    }
    const auto json =
        body.empty() ? nlohmann::json::object() : nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object()) {
        return {http::status::bad_request, {{"error", "the body is not a JSON object"}}};
    }
    return change(target, json);
}

std::pair<http::status, nlohmann::json> Host::change(const Target &target,
                                                     const nlohmann::json &body)
{
    const nlohmann::json done = nlohmann::json::object();
    if (const auto id = target.after("/faults/")) {
        return {setFaults(*id, body) ? http::status::ok : http::status::not_found, done};
    }
    if (const auto id = target.after("/links/")) {
        proxy_.setLink(*id, body);
        return {http::status::ok, done};
    }
    if (target.path == "/proxies") {
        return {http::status::ok, {{"address", proxy_.add(body)}}};
    }
    if (target.path == "/record/clear") {
        clearRecord();
        return {http::status::ok, done};
    }
    if (target.path == "/publish" && configuration_) {
        return configuration_->publish(body);
    }
    if (target.path == "/instances" && instances_) {
        instances_->setTruth(body);
        return {http::status::ok, done};
    }
    if (target.path == "/directory" && directory_) {
        directory_->setEntries(body);
        return {http::status::ok, done};
    }
    return {http::status::not_found, {{"error", "no such call"}}};
}

bool Host::setFaults(const std::string &id, const nlohmann::json &changes)
{
    for (auto &engine : engines_) {
        if (engine.id() == id) {
            engine.setFaults(changes);
            return true;
        }
    }
    for (auto &service : services_) {
        if (service.id() == id) {
            service.setFaults(changes);
            return true;
        }
    }
    if (id == "configuration" && configuration_) {
        configuration_->setFaults(changes);
        return true;
    }
    if (id == "instances" && instances_) {
        instances_->setFaults(changes);
        return true;
    }
    return false;
}

nlohmann::json Host::record(bool withTokenTimes) const
{
    nlohmann::json all = nlohmann::json::object();
    for (const auto &engine : engines_) {
        all[engine.id()] = engine.record(withTokenTimes);
    }
    for (const auto &service : services_) {
        all[service.id()] = service.record();
    }
    if (configuration_) {
        all["configuration"] = configuration_->record();
    }
    if (instances_) {
        all["instances"] = instances_->record();
    }
    if (weights_) {
        all["weights"] = weights_->record();
    }
    all["links"] = proxy_.record();
    return all;
}

void Host::clearRecord()
{
    for (auto &engine : engines_) {
        engine.clearRecord();
    }
    for (auto &service : services_) {
        service.clearRecord();
    }
}

} // namespace LaburnumChute::StandIns
