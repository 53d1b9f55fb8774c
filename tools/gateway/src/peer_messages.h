#pragma once

#include <userplatform/userplatform.h>
#include <wire/wire.h>

#include <cstdint>
#include <string>
#include <vector>

/** Messages between the VMs. Times are relative, in ms: the VMs' clocks differ. */
namespace lacewing::gateway
{

/** How long a piece takes at the VM that fills a service's calls. */
struct LoadMessage {
    std::string service;
    std::string scope; ///< zone whose endpoints are used; empty: all
    std::uint32_t expectedMs = 0;

    LACEWING_MEMBERS(service, scope, expectedMs)
};

/** Sent by each VM to the others, again and again: it is alive, and how far its view goes. */
struct Beacon {
    std::string vm;
    std::string zone;
    std::string address; ///< of its links
    std::uint64_t incarnation = 0;
    bool leaving = false;
    std::uint32_t periodMs = 0; ///< until the receiver's next beacon from this VM
    std::uint64_t stateVersion = 0; ///< desired state in force there
    std::uint64_t operatorEnd = 0; ///< offset up to which it knows the operator's records
    std::uint64_t endpointsEnd = 0; ///< offset up to which it knows endpoints' registrations
    std::vector<LoadMessage> loads; ///< of the services whose calls it fills
    std::vector<std::uint64_t> refused; ///< fingerprints of requests that it refused since its last beacon
    bool followsStore = false; ///< it reads the store, and the store answers it

    LACEWING_MEMBERS(vm,
                     zone,
                     address,
                     incarnation,
                     leaving,
                     periodMs,
                     stateVersion,
                     operatorEnd,
                     endpointsEnd,
                     loads,
                     refused,
                     followsStore)
};

/** One piece in a call to the VM that fills the calls of its service. */
struct PieceMessage {
    std::string request;
    std::uint32_t stage = 0;
    std::uint32_t piece = 0;
    std::string key;
    std::vector<std::string> inputs;
    std::int64_t dueMs = 0; ///< from now
    std::int64_t limitMs = 0; ///< from now
    double worth = 0;
    std::uint64_t resultBytes = 0;
    std::uint64_t zoneBytes = 0; ///< that cross zones if it is made in another than wanted

    LACEWING_MEMBERS(request, stage, piece, key, inputs, dueMs, limitMs, worth, resultBytes, zoneBytes)
};

/** Asks another VM to have pieces made. */
struct PiecesRequest {
    std::string service;
    std::string scope; ///< zone whose endpoints are used; empty: all
    std::string zone; ///< where the results are best made
    std::vector<PieceMessage> pieces;

    LACEWING_MEMBERS(service, scope, zone, pieces)
};

/** Part of the answer to PiecesRequest: what became of one piece. */
struct PieceResult {
    std::uint32_t index = 0; ///< within the request
    std::string handle; ///< empty: not made
    std::string endpoint; ///< that made it
    userplatform::PieceFailure failure = userplatform::PieceFailure::Failed; ///< if not made

    LACEWING_MEMBERS(index, handle, endpoint, failure)
};
struct PieceResults {
    std::vector<PieceResult> results;

    LACEWING_MEMBERS(results)
};

/** Results that are not needed any more, all of one service. */
struct ReleaseMessage {
    std::string service;
    std::string scope;
    std::vector<std::string> endpoints; ///< one for each handle
    std::vector<std::string> handles;

    LACEWING_MEMBERS(service, scope, endpoints, handles)
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
