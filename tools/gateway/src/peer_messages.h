#pragma once

#include <userplatform/userplatform.h>
#include <wire/wire.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/** Messages between the VMs. Times are relative, in ms: the VMs' clocks differ. */
namespace lacewing::gateway
{

/** How a service is doing at the VM that fills its calls. */
struct LoadMessage {
    std::string service;
    std::string cell; ///< zone whose endpoints are used; empty: all
    std::int64_t waitMs = 0; ///< until a piece would be started that comes after all that is promised
    std::int64_t callMs = 0; ///< time of a call then

    LACEWING_MEMBERS(service, cell, waitMs, callMs)
};

/** A request that a VM refused. */
struct RefusedMessage {
    std::uint64_t fingerprint = 0;
    std::int64_t firstTryMs = 0; ///< since its caller sent it first

    LACEWING_MEMBERS(fingerprint, firstTryMs)
};

/** Sent by each VM to the others, again and again: it is alive, and how far its view goes. */
struct Beacon {
    std::string vm;
    std::string zone;
    std::string address; ///< of its links
    std::uint64_t incarnation = 0;
    bool leaving = false;
    std::uint32_t periodMs = 0; ///< until the receiver's next beacon from this VM
    double processorShare = 1; ///< of a core, that the VM may use
    std::uint64_t stateVersion = 0; ///< desired state in force there
    std::uint64_t operatorEnd = 0; ///< offset up to which it knows the operator's records
    std::uint64_t endpointsEnd = 0; ///< offset up to which it knows endpoints' registrations
    std::vector<LoadMessage> loads; ///< of the services whose calls it fills
    std::vector<RefusedMessage> refused; ///< since its last beacon
    bool followsStore = false; ///< it reads the store, and the store answers it

    LACEWING_MEMBERS(vm,
                     zone,
                     address,
                     incarnation,
                     leaving,
                     periodMs,
                     processorShare,
                     stateVersion,
                     operatorEnd,
                     endpointsEnd,
                     loads,
                     refused,
                     followsStore)
};

/** One piece in a call to the VM that fills the calls of its cell. */
struct PieceMessage {
    std::uint32_t service = 0; ///< position in the request's services
    std::uint32_t stage = 0;
    std::uint32_t piece = 0;
    std::string key;
    std::vector<std::string> inputs;
    std::int64_t dueMs = 0; ///< from now
    std::int64_t limitMs = 0; ///< from now
    double worth = 0;
    std::uint64_t resultBytes = 0;
    std::uint64_t zoneBytes = 0; ///< that cross zones if it is made in another than wanted

    LACEWING_MEMBERS(service, stage, piece, key, inputs, dueMs, limitMs, worth, resultBytes, zoneBytes)
};

/** One stage of a request that wants to begin. */
struct StepMessage {
    std::uint32_t service = 0; ///< position in the request's services
    std::uint32_t pieces = 0;
    std::int64_t dueMs = 0; ///< from now
    std::vector<std::uint32_t> after; ///< positions of steps

    LACEWING_MEMBERS(service, pieces, dueMs, after)
};

/** All stages of a request that wants to begin, and what decides whether it may. */
struct PathMessage {
    std::int64_t elapsedMs = 0; ///< since the request came
    std::int64_t targetMs = 0;
    std::int64_t afterStagesMs = 0;
    std::int32_t rank = 0;
    double relativeWorth = 1;
    bool isReturning = false;
    std::vector<StepMessage> steps;

    LACEWING_MEMBERS(elapsedMs, targetMs, afterStagesMs, rank, relativeWorth, isReturning, steps)
};

/** Asks another VM to have pieces of one request made. */
struct PiecesRequest {
    std::string cell; ///< zone whose endpoints are used; empty: all
    std::string zone; ///< where the results are best made
    std::string request;
    std::vector<std::string> services;
    std::vector<PieceMessage> pieces;
    std::optional<PathMessage> path; ///< of a request that the cell has not admitted yet

    LACEWING_MEMBERS(cell, zone, request, services, pieces, path)
};

/** Part of the answer to PiecesRequest: what became of one piece. */
struct PieceResult {
    std::uint32_t index = 0; ///< within the request
    std::string handle; ///< empty: not made
    std::string endpoint; ///< that made it
    userplatform::PieceFailure failure = userplatform::PieceFailure::Failed; ///< if not made

    LACEWING_MEMBERS(index, handle, endpoint, failure)
};
/** The cell has no time for the request's path; none of its pieces are made. */
struct RefusalMessage {
    std::int64_t predictedMs = 0; ///< until the stages would be done
    std::int64_t limitMs = 0; ///< which that might have been
    bool keepsOthers = true; ///< nothing that was promised before becomes late
    std::int64_t comeBackMs = 0;
    std::uint64_t ahead = 0; ///< pieces that go before it, at the stage with most of them

    LACEWING_MEMBERS(predictedMs, limitMs, keepsOthers, comeBackMs, ahead)
};
struct PieceResults {
    std::vector<PieceResult> results;
    std::optional<RefusalMessage> refused;

    LACEWING_MEMBERS(results, refused)
};

/** Results that are not needed any more, all of one service. */
struct ReleaseMessage {
    std::string service;
    std::string cell;
    std::vector<std::string> endpoints; ///< one for each handle
    std::vector<std::string> handles;

    LACEWING_MEMBERS(service, cell, endpoints, handles)
};

/** A request that was running on an endpoint as it went down. */
struct SuspectMessage {
    std::uint64_t fingerprint = 0;
    std::uint32_t crashes = 0;

    LACEWING_MEMBERS(fingerprint, crashes)
};

/** Asks another VM for records of a topic that this one can't get from the store. */
struct RecordsRequest {
    userplatform::Topic topic = userplatform::Topic::Operator;
    std::uint64_t after = 0; ///< records from this offset on

    LACEWING_MEMBERS(topic, after)
};
struct RecordMessage {
    std::string key;
    std::uint64_t offset = 0;
    bool isRemoval = false;
    std::string value;

    LACEWING_MEMBERS(key, offset, isRemoval, value)
};
struct RecordsAnswer {
    std::uint64_t end = 0;
    std::vector<RecordMessage> records;

    LACEWING_MEMBERS(end, records)
};

/** Records that a VM has just read, sent to the VMs that don't read the store themselves. */
struct RecordsPush {
    userplatform::Topic topic = userplatform::Topic::Operator;
    std::uint64_t after = 0; ///< the sender's end before these records
    RecordsAnswer records;

    LACEWING_MEMBERS(topic, after, records)
};

/** What goes over a link: which of the messages above, and its encoded bytes. */
enum class MessageKind : std::uint8_t {
    Beacon = 1,
    Release = 2,
    Suspect = 3,
    Pieces = 4,
    Records = 5,
    RecordsPush = 6
};

template <typename Message>
std::string envelope(MessageKind kind, const Message &message)
{
    return static_cast<char>(kind) + wire::encode(message);
}

} // namespace lacewing::gateway
