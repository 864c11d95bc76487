#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "Common/Common.h"

namespace LaburnumChute::Peers {

/// Identifies a call among all calls of one incarnation of the calling instance.
using CallId = std::uint64_t;

/// What the receiver of a forwarded request must do so that the request does not run twice.
enum class OnceRole : std::uint8_t {
    /// The request may be repeated.
    None,
    /// The receiver issued the idempotency key, or acts for the instance that did.
    ToOwner,
    /// The sender issued the idempotency key and holds it: the receiver runs the request once
    /// without asking a ledger.
    HeldBySender,
};

/// A caller's request as it is forwarded to another instance.
struct ForwardedRequest
{
    Common::RequestId request;
    /// As the first instance authenticated it.
    Common::CustomerName customer;
    std::string method;
    std::string target;
    Common::Headers headers;
    std::string body;
    /// The region of the instance that received the request from the caller.
    Common::RegionName fromRegion;
    /// The instances that have handled the request, in order. An instance that finds itself in this
    /// list rejects the request, since it would be forwarded in a loop.
    std::vector<Common::InstanceId> visited;
    /// Remaining time that the caller waits for the first byte, in milliseconds.
    std::optional<std::uint32_t> deadlineMs;
    OnceRole once = OnceRole::None;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(request, customer, method, target, headers, body, fromRegion, visited, deadlineMs,
                once);
    }
};

/// A request from one instance to another on its own behalf, answered with one whole body.
struct InternalRequest
{
    /// The kind of request, such as "ledger-handover".
    std::string subject;
    std::string body;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(subject, body);
    }
};

using CallRequest = std::variant<ForwardedRequest, InternalRequest>;

/// The first message in each direction on a connection.
struct Hello
{
    Common::InstanceId instance;
    Common::Incarnation incarnation = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(instance, incarnation);
    }
};

struct OpenCall
{
    CallId call = 0;
    CallRequest request;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(call, request);
    }
};

/// Sent after a reconnect: requests the call's items from this number on.
struct ResumeCall
{
    CallId call = 0;
    std::uint64_t nextItem = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(call, nextItem);
    }
};

struct CancelCall
{
    CallId call = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(call);
    }
};

/// The caller of the request has left: it is not wanted any more unless it has begun. The call goes
/// on until its answer or failure says which.
struct WithdrawCall
{
    CallId call = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(call);
    }
};

/// Acknowledges that items below this number have been consumed: the sender may discard them and
/// send as many more bytes.
struct Consumed
{
    CallId call = 0;
    std::uint64_t nextItem = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(call, nextItem);
    }
};

/// The parts of an answer, in this order: one head, any number of pieces, one end. A failure may
/// come at any point and ends the answer.
struct AnswerHead
{
    std::uint32_t status = 0;
    Common::Headers headers;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(status, headers);
    }
};

struct AnswerPiece
{
    std::string bytes;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(bytes);
    }
};

struct AnswerEnd
{
    template <typename Archive>
    void serialize(Archive &)
    {
    }
};

/// The call failed; no (further) part of the answer follows.
struct AnswerFailure
{
    std::uint32_t status = 0;
    Common::ErrorCode code = Common::ErrorCode::Internal;
    Common::RunState run = Common::RunState::Unknown;
    std::string detail;
    std::uint32_t retryAfterMs = 0;
    /// Further members of the problem document, as JSON text.
    std::string extra;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(status, code, run, detail, retryAfterMs, extra);
    }
};

using AnswerItem = std::variant<AnswerHead, AnswerPiece, AnswerEnd, AnswerFailure>;

/// One part of a call's answer. Parts are numbered from 0 without gaps, so that a lost, duplicate
/// or misrouted part is detected.
struct CallItem
{
    CallId call = 0;
    std::uint64_t number = 0;
    AnswerItem item;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(call, number, item);
    }
};

struct Ping
{
    template <typename Archive>
    void serialize(Archive &)
    {
    }
};

struct Pong
{
    template <typename Archive>
    void serialize(Archive &)
    {
    }
};

using Frame = std::variant<Hello, OpenCall, ResumeCall, CancelCall, Consumed, CallItem, Ping, Pong,
                           WithdrawCall>;

/// Size of the big-endian length prefix of each frame.
inline constexpr std::size_t FrameLengthBytes = 4;
/// A request body may have 4 MiB; anything much larger is not a valid frame.
inline constexpr std::size_t FrameLimitBytes = 8 * 1024 * 1024;

/// Serializes a frame, with its length prefix.
std::string encodeFrame(const Frame &frame);
/// Parses a frame from its bytes, without the length prefix.
Common::Result<Frame> decodeFrame(std::string_view bytes);
std::size_t decodeFrameLength(std::string_view bytes);

} // namespace LaburnumChute::Peers
