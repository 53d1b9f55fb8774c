#pragma once

#include "attempt.h"
#include "request_context.h"
#include "request_placement.h"
#include "request_stages.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lacewing::gateway
{

/** Handles one request of a caller, from its arrival to its final response. */
class RequestHandler : public std::enable_shared_from_this<RequestHandler>
{
public:
    RequestHandler(RequestContext &shared, net::HttpRequest request, net::ResponseWriter writer);

    void start();
    /** Called when prompt parts have become quarantined. */
    void handleQuarantineChange();
    /** Called when this VM reaches other services than before. */
    void handleReachabilityChange();
    /** Called repeatedly once the process has to stop: ends a request that can't be completed any more. */
    void handleStopProgress();

private:
    /** Retry-after of requests that are rejected, unless an endpoint has said when it wants requests again. */
    static constexpr Duration defaultRetryAfter = std::chrono::milliseconds(400);
    /** Retry-after of requests that another VM can serve at once. */
    static constexpr Duration otherVmRetryAfter = std::chrono::milliseconds(100);

    enum class Phase : std::uint8_t {
        New,
        LookingUpOrigin,
        ConfirmingEndpoints,
        RunningStages,
        SelectingEndpoint,
        AwaitingHead,
        Streaming,
        Done
    };

    // Admission
    bool findRoute();
    bool authenticate();
    bool startDeadline();
    int rank() const noexcept;
    const routing::ServiceId &chooseService();
    bool isResumption() const noexcept;
    void lookUpOrigin();
    void findOrigin();
    void resumeFrom(const std::optional<routing::StreamOrigin> &origin, std::string_view source);
    void run();
    void startWork();
    bool rejectIfQuarantined();
    bool rejectIfStopping(const shutdown::CompletionTimes &times);
    void recordCompletionTime();
    void rejectStages(const stages::AdmissionDecision &decision);

    // Stages
    bool rejectIfEnginesBlocked();
    void startStages();
    void rerunFinalStages();
    double computeRelativeSize();

    // Attempts, in request_attempts.cpp
    void dispatch();
    void selectAndSend();
    void awaitConfirmation();
    void confirmEndpoints();
    bool awaitCheck(const std::function<void(RequestHandler &)> &onChecked);
    bool continuesStream() const noexcept;
    void sendTo(const routing::EndpointEntry &entry);
    void sendByRelay(const ResultBytes &results);
    void beginAttempt();
    userplatform::ForwardParameters makeForwardParameters() const;
    AttemptHandlers makeAttemptHandlers();
    void handleHead();
    void breakOffAttempt(std::string_view reason);
    void handleBody(std::string_view bytes);
    void handleAttemptEnd(const net::HttpEnd &end);
    void handleCompleteResponse();
    void handleCompleteStream();
    void handleTransportError(const net::HttpEnd &end);
    void handleNotRun();
    void closeAttempt(dispatch::SendOutcome outcome);
    void bufferBody(std::string_view bytes);
    void clearBufferedBody();
    net::Body takeBufferedBody();
    void forwardEvents(std::string_view bytes);
    void forwardBytes(std::string_view bytes);
    void recordOrigin();
    bool retry(std::string_view reason, bool mayHaveRun);
    void reportAnswer();
    void reportConnectionEnd(bool mayBeComplete);
    /** Returns whether the stream of the latest attempt has begun an event that it has not completed. */
    bool isInsideEvent() const noexcept
    {
        return eventSplitter_.isInsideEvent() || eventBoundary_.isInsideEvent();
    }

    // Completion
    void reject(int status, std::string_view reason, std::optional<Duration> retryAfter);
    void rejectOrFail(std::string_view reason, Duration retryAfter);
    Duration retryAfterTime() const;
    void fail(int status, std::string_view reason);
    void finish(int status, std::string_view outcome);
    void handleDeadline();
    void endUnfinished(std::string_view reason, Duration retryAfter);
    void handleCallerDisconnect();

    Time now() const noexcept
    {
        return shared_.context.now();
    }

    RequestContext &shared_;
    net::HttpRequest request_;
    net::ResponseWriter writer_;
    userplatform::RequestMetadata facts_;
    std::shared_ptr<const routing::RouteTable> routes_;
    const routing::Route *route_ = nullptr;
    const routing::KeyHolder *keyHolder_ = nullptr;
    routing::ServiceId service_;
    Fingerprint fingerprint_;
    std::vector<dispatch::PromptPartId> sharedParts_; ///< of the prompt
    Time deadline_;
    TimerHandle deadlineTimer_;
    Phase phase_ = Phase::New;

    std::optional<RequestPlacement> placement_;
    std::shared_ptr<RequestStages> stages_; ///< null if the request has no stages
    std::optional<Time> stagesCompletedAt_;
    int missingInputRetries_ = 0; ///< reruns of the stages because an engine lacked the results

    std::shared_ptr<Attempt> attempt_; ///< the latest attempt
    std::vector<EndpointId> triedEndpoints_;
    std::vector<VmId> triedRelays_; ///< VMs that did not send the request
    std::optional<routing::EndpointLifetime> reservedEndpoint_; ///< expects the request within its rate limit
    bool isTrial_ = false; ///< sent although a prompt part is quarantined, but not retried
    bool isAnswerReported_ = false; ///< whether the answer of the latest attempt counts for its prompt parts
    int attemptCount_ = 0; ///< attempts that may have reached an endpoint
    std::string bufferedBody_; ///< response body, unless it is streamed
    MemoryReservation bufferMemory_; ///< for bufferedBody_
    bool mayHaveRun_ = false; ///< whether an endpoint may have run the request
    net::SseSplitter eventSplitter_; ///< of the stream of the latest attempt, if it may be resumed
    net::SseBoundary eventBoundary_; ///< of the stream of the latest attempt, if it may not
    routing::EventSequence forwardedEvents_; ///< of a stream that may be resumed
    bool hasForwardedEvent_ = false; ///< whether an event of the latest attempt was forwarded
    bool areEndpointsConfirmed_ = false; ///< for the next attempt
    bool isCheckAwaited_ = false; ///< the next attempt has waited for the check of an endpoint in doubt
    /** Where the stream began; empty until an event of it is forwarded, unless the request resumes a stream. */
    std::optional<routing::StreamOrigin> origin_;
    std::optional<routing::StreamKey> ownStream_; ///< set if the stream began, or went on, with this request
    bool isHeadForwarded_ = false;
    bool isContinuation_ = false; ///< whether the latest attempt has to go on with a response that has begun
    net::HttpHead forwardedHead_;
    net::BodyFraming forwardedFraming_ = net::BodyFraming::Chunked; ///< of the stream as the caller gets it
    bool isBodyForwarded_ = false;
};

} // namespace lacewing::gateway
