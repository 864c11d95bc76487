#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "Common/Common.h"

namespace LaburnumChute::Peers {

/// Names a call among all calls of one incarnation of the calling instance.
using CallId = std::uint64_t;

/// What a forwarded request that must not run twice asks of its receiver.
enum class OnceRole : std::uint8_t {
    /// It may be repeated.
    None,
    /// The receiver minted its key, or answers for the one who did.
    ToOwner,
    /// The sender minted its key and holds it: the receiver runs it once and asks no ledger.
    HeldBySender,
};

/// A caller's request on its one way to another instance.
struct ForwardedRequest
{
    Common::RequestId request;
    /// As the first instance authenticated it.
    Common::CustomerName customer;
    std::string method;
    std::string target;
    Common::Headers headers;
    std::string body;
    /// The region of the instance that the caller spoke to.
    Common::RegionName fromRegion;
    /// The instances that the request has been at, the first one first. An instance that finds
    /// itself in here refuses the request: it would travel in a loop.
    std::vector<Common::InstanceId> visited;
    /// What is left of the time that the caller waits for the first byte, in milliseconds.
    std::optional<std::uint32_t> deadlineMs;
    OnceRole once = OnceRole::None;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(request, customer, method, target, headers, body, fromRegion, visited, deadlineMs,
                once);
    }
};

/// A message between two instances themselves, answered by one whole body.
struct InternalRequest
{
    /// What it is about, such as "ledger-handover".
    std::string subject;
    std::string body;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(subject, body);
    }
};

using CallRequest = std::variant<ForwardedRequest, InternalRequest>;

/// The first message each way on a connection.
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

/// After a new connection: send the call's items again from this number on.
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

/// Items below this number have been consumed: they need not be kept, and as many bytes more may be
/// sent.
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

/// The parts of an answer, in this order: one head, any number of pieces, one end; or a failure at
/// any place, which ends it.
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

/// The call yields no (further) answer.
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

/// One part of a call's answer; numbered from 0 without gaps, so that a lost, doubled or foreign
/// part is noticed.
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

using Frame = std::variant<Hello, OpenCall, ResumeCall, CancelCall, Consumed, CallItem, Ping, Pong>;

/// Bytes of the length that goes before each frame, big endian.
inline constexpr std::size_t FrameLengthBytes = 4;
/// A request's body may have 4 MiB; anything much larger is not one of our frames.
inline constexpr std::size_t FrameLimitBytes = 8 * 1024 * 1024;

/// The frame with its length before it.
std::string encodeFrame(const Frame &frame);
/// The frame of these bytes (without the length).
Common::Result<Frame> decodeFrame(std::string_view bytes);
std::size_t decodeFrameLength(std::string_view bytes);

} // namespace LaburnumChute::Peers
