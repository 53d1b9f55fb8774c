#pragma once

#include <routing/routing.h>
#include <userplatform/userplatform.h>
#include <wire/wire.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/**
 * Messages exchanged between VMs. Times are relative, in ms, because the clocks of VMs differ. Offsets hold positions
 * as userplatform::LogPosition::packed() returns them.
 */
namespace lacewing::gateway
{

/** Heartbeat::protocolVersion of VMs that take part in the overlay of a large fleet. */
constexpr std::uint32_t overlayProtocolVersion = 1;

/** Load of a service in one cell, reported by the VM that coordinates the cell. */
struct LoadMessage {
    std::string service;
    std::string cell; ///< zone whose endpoints are used; empty for all zones
    std::int64_t waitMs = 0; ///< time until a piece would start that is queued after all admitted work
    std::int64_t callDurationMs = 0; ///< expected duration of that call

    LACEWING_MEMBERS(service, cell, waitMs, callDurationMs)
};

/** A request that a VM has rejected. */
struct RejectedRequestMessage {
    std::uint64_t fingerprint = 0;
    std::int64_t sinceFirstAttemptMs = 0; ///< time since the caller first sent it

    LACEWING_MEMBERS(fingerprint, sinceFirstAttemptMs)
};

/** The rate limit of an endpoint as a VM knows it, and what the VM has sent under it. */
struct RateLimitMessage {
    std::string endpoint;
    std::uint64_t incarnation = 0;
    bool isLimited = false; ///< else the endpoint takes any number of requests again
    double perSecond = 0; ///< requests from all VMs together; valid if it is limited
    std::int64_t ageMs = 0; ///< time since the endpoint said so
    std::uint64_t sendCount = 0; ///< requests that the VM has sent under limits of the endpoint since the VM's start

    LACEWING_MEMBERS(endpoint, incarnation, isLimited, perSecond, ageMs, sendCount)
};
struct RateLimitsMessage {
    std::string vm;
    std::uint64_t incarnation = 0; ///< of the VM
    std::vector<RateLimitMessage> limits;

    LACEWING_MEMBERS(vm, incarnation, limits)
};

/** Which desired state is in force on a VM. */
struct StateVersionMessage {
    routing::StateVersion version; ///< 0 if there is none
    std::uint64_t digest = 0; ///< of its contents; 0 if there is none
    std::uint64_t position = 0; ///< after its record in the store

    LACEWING_MEMBERS(version, digest, position)
};
/** Tells that a VM has read a desired state from the store. */
struct StateAnnouncement {
    StateVersionMessage version;
    std::optional<routing::StateImpact> impact; ///< on the state that the VM had before

    LACEWING_MEMBERS(version, impact)
};
/** Asks another VM for its desired state, once that is the wanted one or a later one. */
struct StateRequest {
    StateVersionMessage own; ///< in force on the VM that asks
    std::uint64_t baseDigest = 0; ///< of the state that the response may build on; 0: none
    StateVersionMessage wanted;

    LACEWING_MEMBERS(own, baseDigest, wanted)
};
struct StateResponse {
    std::uint64_t position = 0; ///< after the record of the state in the store
    routing::StateDelta delta;

    LACEWING_MEMBERS(position, delta)
};

/** Sent periodically by each VM to the others: reports that it is alive, and how up to date its view is. */
struct Heartbeat {
    std::string vm;
    std::string zone;
    std::string address; ///< where it listens for links from other VMs
    std::uint64_t incarnation = 0;
    bool isLeaving = false;
    std::uint32_t periodMs = 0; ///< time until the receiver's next heartbeat from this VM
    double cpuShare = 1; ///< CPU cores that the VM may use
    std::uint64_t stateVersion = 0; ///< version of the desired state in force on the VM
    std::uint64_t operatorEndOffset = 0; ///< offset after the record of that state
    std::uint64_t endpointsEndOffset = 0; ///< offset up to which it has read endpoint registrations
    std::vector<LoadMessage> loads; ///< of the cells that it coordinates
    std::vector<RejectedRequestMessage> rejectedRequests; ///< since its last heartbeat
    bool isReadingStore = false; ///< whether it reads the store and the store responds
    std::uint64_t suspectsDigest = 0; ///< of what it knows about requests and prompt parts in flight at several crashes
    double linkMbps = 0; ///< bandwidth of its link; 0: unknown
    std::vector<RateLimitMessage> rateLimits; ///< that it knows
    std::uint64_t stateDigest = 0; ///< of the contents of the desired state in force
    std::vector<std::string> unreachableServices; ///< of which it reaches no endpoint
    std::uint32_t protocolVersion = 0; ///< of what the VM understands; 0: it takes no part in the overlay
    /** Offset up to which the VM knows the operator's evacuations; 0: it knows none, or is of an earlier version. */
    std::uint64_t evacuationsEndOffset = 0;
    std::uint64_t evacuationsDigest = 0; ///< of what it knows of them; 0: of none

    LACEWING_MEMBERS(vm,
                     zone,
                     address,
                     incarnation,
                     isLeaving,
                     periodMs,
                     cpuShare,
                     stateVersion,
                     operatorEndOffset,
                     endpointsEndOffset,
                     loads,
                     rejectedRequests,
                     isReadingStore,
                     suspectsDigest,
                     linkMbps,
                     rateLimits,
                     stateDigest,
                     unreachableServices,
                     protocolVersion,
                     evacuationsEndOffset,
                     evacuationsDigest)
};

/** Tells all VMs of requests that a VM has rejected. */
struct RejectionsMessage {
    std::vector<RejectedRequestMessage> rejectedRequests;

    LACEWING_MEMBERS(rejectedRequests)
};

/** One piece in a call to the VM that coordinates the piece's cell. */
struct PieceMessage {
    std::uint32_t service = 0; ///< position in the request's services
    std::uint32_t stage = 0;
    std::uint32_t piece = 0;
    std::string key;
    std::vector<std::string> inputs;
    std::int64_t dueMs = 0; ///< soft deadline, from now
    std::int64_t deadlineMs = 0; ///< time after which the piece is dropped, from now
    double value = 0;
    std::uint64_t resultBytes = 0;
    std::uint64_t crossZoneBytes = 0; ///< bytes that cross zones if it runs outside the preferred zone

    LACEWING_MEMBERS(service, stage, piece, key, inputs, dueMs, deadlineMs, value, resultBytes, crossZoneBytes)
};

/** One stage of a request that asks for admission. */
struct StageDemandMessage {
    std::uint32_t service = 0; ///< position in the request's services
    std::uint32_t pieces = 0;
    std::int64_t dueMs = 0; ///< soft deadline, from now
    std::vector<std::uint32_t> dependencies; ///< positions of the stages that must complete first

    LACEWING_MEMBERS(service, pieces, dueMs, dependencies)
};

/** All stages of a request that asks for admission, and the inputs of the admission decision. */
struct AdmissionRequestMessage {
    std::int64_t elapsedMs = 0; ///< time since the request was received
    std::int64_t targetMs = 0;
    std::int64_t engineTimeMs = 0;
    std::int32_t rank = 0;
    double relativeValue = 1;
    bool isRetry = false;
    std::vector<StageDemandMessage> demands;

    LACEWING_MEMBERS(elapsedMs, targetMs, engineTimeMs, rank, relativeValue, isRetry, demands)
};

/** Asks another VM to run pieces of one request. */
struct PiecesRequest {
    std::string cell; ///< zone whose endpoints are used; empty for all zones
    std::string zone; ///< preferred zone for the results
    std::string request;
    std::vector<std::string> services;
    std::vector<PieceMessage> pieces;
    std::optional<AdmissionRequestMessage> admission; ///< set if the cell has not admitted the request yet
    std::uint64_t fingerprint = 0; ///< of the request's content; 0: unknown

    LACEWING_MEMBERS(cell, zone, request, services, pieces, admission, fingerprint)
};

/** Part of the response to PiecesRequest: the outcome of one piece. */
struct PieceResult {
    std::uint32_t index = 0; ///< position in PiecesRequest::pieces
    std::string handle; ///< empty if the piece failed
    std::string endpoint; ///< endpoint that holds the result
    userplatform::PieceFailure failure = userplatform::PieceFailure::Failed; ///< valid if the piece failed

    LACEWING_MEMBERS(index, handle, endpoint, failure)
};
/** The cell has no capacity to complete the request's stages in time; none of its pieces are run. */
struct AdmissionRejectionMessage {
    std::int64_t predictedMs = 0; ///< predicted time until the stages complete
    std::int64_t limitMs = 0; ///< longest predicted time that would have been admitted
    bool keepsCommitments = true; ///< whether requests admitted earlier would still be on time
    std::int64_t retryAfterMs = 0;
    std::uint64_t piecesAhead = 0; ///< pieces queued ahead of it, at the stage with the most

    LACEWING_MEMBERS(predictedMs, limitMs, keepsCommitments, retryAfterMs, piecesAhead)
};
struct PieceResults {
    std::vector<PieceResult> results;
    std::optional<AdmissionRejectionMessage> rejection;

    LACEWING_MEMBERS(results, rejection)
};

/** Results of one service that are no longer needed. */
struct ReleaseMessage {
    std::string service;
    std::string cell;
    std::vector<std::string> endpoints; ///< endpoint that holds each handle
    std::vector<std::string> handles;

    LACEWING_MEMBERS(service, cell, endpoints, handles)
};

/** One run of an endpoint: one that crashed, or that leaves. */
struct EndpointLifetimeMessage {
    std::string endpoint;
    std::uint64_t incarnation = 0;

    LACEWING_MEMBERS(endpoint, incarnation)
};

/** An endpoint that falls over when it has to turn many requests away, and what it has turned away of a VM's. */
struct BrittleEndpointMessage {
    std::string endpoint;
    std::uint64_t incarnation = 0;
    std::uint32_t maxRejections = 0; ///< in a second
    bool isRejection = false; ///< a request of the VM was turned away just now

    LACEWING_MEMBERS(endpoint, incarnation, maxRejections, isRejection)
};

/** A request that was running on endpoints when they went down. */
struct SuspectMessage {
    std::uint64_t fingerprint = 0;
    std::uint32_t crashCount = 0; ///< read by VMs of an earlier version, which know nothing of the other fields
    std::vector<EndpointLifetimeMessage> crashes;
    std::int64_t ageMs = 0; ///< time since it was updated
    bool isCleared = false; ///< it has succeeded since, so it does not crash endpoints

    LACEWING_MEMBERS(fingerprint, crashCount, crashes, ageMs, isCleared)
};

/** A crash of an endpoint that was answering requests with a prompt part. */
struct PartCrashMessage {
    std::string endpoint;
    std::uint64_t incarnation = 0;
    std::int64_t ageMs = 0; ///< time since the latest of these answers began
    bool hadAnswer = false; ///< whether one had begun

    LACEWING_MEMBERS(endpoint, incarnation, ageMs, hadAnswer)
};

/** A prompt part that was in flight when endpoints crashed. */
struct SuspectPartMessage {
    std::uint64_t part = 0;
    std::vector<PartCrashMessage> crashes; ///< the most recent ones that no success refutes
    bool hasSucceeded = false;
    std::int64_t successAgeMs = 0; ///< time since the latest successful answer began; valid if there was one
    std::int64_t longestAnswerMs = 0; ///< longest time for which an answer had been arriving at a crash
    std::uint32_t position = 0; ///< largest position in a prompt
    std::uint32_t trialCount = 0;
    std::int64_t trialAgeMs = 0; ///< time since the last trial; valid if there was one
    std::int64_t ageMs = 0; ///< time since it was updated

    LACEWING_MEMBERS(
        part, crashes, hasSucceeded, successAgeMs, longestAnswerMs, position, trialCount, trialAgeMs, ageMs)
};
struct SuspectPartsMessage {
    std::vector<SuspectPartMessage> parts;

    LACEWING_MEMBERS(parts)
};

/** Response to a call of kind Suspects: the requests that were running at several crashes, and quarantined parts. */
struct SuspectsResponse {
    std::vector<SuspectMessage> suspects;
    std::vector<SuspectPartMessage> parts;

    LACEWING_MEMBERS(suspects, parts)
};

/** Asks another VM for records of a topic that this VM can't read from the store. */
struct RecordsRequest {
    userplatform::Topic topic = userplatform::Topic::Operator;
    std::uint64_t startOffset = 0; ///< offset of the first record to return
    /** The response has to hold all that the store has when the request arrives. Earlier versions of the gateway
     * ignore this and return what they have read. */
    bool isCurrentRequired = false;
    /** Whether the sender applies a snapshot. Earlier versions take each response for one of changes. */
    bool acceptsSnapshot = false;

    LACEWING_MEMBERS(topic, startOffset, isCurrentRequired, acceptsSnapshot)
};
struct RecordMessage {
    std::string key;
    std::uint64_t offset = 0;
    bool isRemoval = false;
    std::string value;

    LACEWING_MEMBERS(key, offset, isRemoval, value)
};
/** What the records of a response leave out. */
enum class RecordsScope : std::uint8_t {
    Unknown = 0, ///< of an earlier version: removals from before the start of the VM that responds
    Changes = 1, ///< what was written or removed before `startOffset`
    Snapshot = 2, ///< keys that were removed before `startOffset`
};
struct RecordsResponse {
    std::uint64_t endOffset = 0;
    std::vector<RecordMessage> records;
    RecordsScope scope = RecordsScope::Unknown;
    std::uint64_t startOffset = 0; ///< valid unless the scope is unknown

    LACEWING_MEMBERS(endOffset, records, scope, startOffset)
};

/** Records that a VM has just read, pushed to the VMs that don't read the store themselves. */
struct RecordsPush {
    userplatform::Topic topic = userplatform::Topic::Operator;
    std::uint64_t startOffset = 0; ///< the sender's end offset before these records
    RecordsResponse records;

    LACEWING_MEMBERS(topic, startOffset, records)
};

/** Streams that began at endpoints of one service and software version. */
struct StreamOriginGroup {
    routing::ServiceId service;
    routing::SoftwareVersion version;
    std::vector<routing::StreamKey> streams;
    std::vector<std::uint32_t> timesToLiveMs; ///< by stream: until its caller can't come back any more

    LACEWING_MEMBERS(service, version, streams, timesToLiveMs)
};
struct StreamOriginsMessage {
    std::vector<StreamOriginGroup> groups;

    LACEWING_MEMBERS(groups)
};
/** Asks another VM where a stream began. */
struct StreamOriginRequest {
    routing::StreamKey stream;

    LACEWING_MEMBERS(stream)
};
struct StreamOriginResponse {
    bool isKnown = false;
    routing::ServiceId service; ///< valid if it is known
    routing::SoftwareVersion version; ///< valid if it is known

    LACEWING_MEMBERS(isKnown, service, version)
};

/** First byte of each message on a link, which tells the type of the encoded message that follows. */
enum class MessageKind : std::uint8_t {
    Heartbeat = 1,
    Release = 2,
    Suspect = 3,
    Pieces = 4,
    Records = 5,
    RecordsPush = 6,
    Suspects = 7,
    EndpointLeaving = 8,
    SuspectParts = 9,
    RateLimits = 10,
    StateAnnouncement = 11,
    State = 12,
    StreamOrigins = 13,
    StreamOrigin = 14,
    UnreachableServices = 15,
    Relay = 16,
    BrittleEndpoint = 17,
    Overlay = 18,
    Rejections = 19
};

/** Encodes a message that consists of its kind only. */
inline std::string encodeMessage(MessageKind kind)
{
    return std::string(1, static_cast<char>(kind));
}

template <typename Message>
std::string encodeMessage(MessageKind kind, const Message &message)
{
    return static_cast<char>(kind) + wire::encode(message);
}

} // namespace lacewing::gateway
