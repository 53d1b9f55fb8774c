#pragma once

#include "endpoint_attempt.h"
#include "request_placement.h"
#include "request_stages.h"
#include "request_context.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lacewing::gateway
{

/** One request of a caller, from its arrival to its final answer. */
class RequestRun : public std::enable_shared_from_this<RequestRun>
{
public:
    RequestRun(RunShared &shared, net::HttpRequest request, net::ResponseWriter writer);

    void start();

private:
    enum class Phase : std::uint8_t { New, Stages, Waiting, Sent, Forwarding, Done };

    // Admission
    bool findRoute();
    bool checkKey();
    bool setDeadline();
    int rank() const noexcept;
    const routing::ServiceId &chooseService();
    void refuseStages(const stages::PathDecision &decision);

    // Stages
    void beginStages();
    void makeStagesAgain();
    double judgeSize();

    // Sends
    void dispatch();
    void send(const routing::EndpointEntry &entry, const ResultBytes &results);
    void headReceived();
    void bodyReceived(std::string_view bytes);
    void sendEnded(const net::HttpEnd &end);
    void answerWhole();
    void answerBroken(const net::HttpEnd &end);
    void answerNotRun();
    void closeSend(dispatch::SendOutcome outcome);
    void forwardEvents(std::string_view bytes);
    void passOn(std::string_view bytes);
    bool sendAgain(std::string_view why, bool ran);

    // Ends
    void refuse(int status, std::string_view why, std::optional<Duration> comeBack);
    void giveUp(std::string_view why);
    void fail(int status, std::string_view why);
    void finish(int status, std::string_view outcome);
    void deadlineReached();
    void callerGone();

    Time now() const noexcept
    {
        return shared_.context.now();
    }

    RunShared &shared_;
    net::HttpRequest request_;
    net::ResponseWriter writer_;
    userplatform::CallerFacts facts_;
    std::shared_ptr<const routing::RouteTable> routes_;
    const routing::Route *route_ = nullptr;
    const routing::KeyHolder *holder_ = nullptr;
    routing::ServiceId service_;
    Fingerprint fingerprint_;
    Time deadline_;
    TimerHandle deadlineTimer_;
    Phase phase_ = Phase::New;

    std::optional<RequestPlacement> placement_;
    std::shared_ptr<RequestStages> stages_; ///< null: the request has none
    std::optional<Time> stagesDoneAt_;
    int inputRepeats_ = 0; ///< times that an engine missed its inputs

    std::shared_ptr<EndpointSend> send_; ///< the last one
    std::vector<EndpointId> tried_;
    int sends_ = 0; ///< that may have reached an endpoint
    std::string body_; ///< of the answer, unless that is passed on as it comes
    bool mayHaveRun_ = false; ///< some endpoint may have run it
    net::SseSplitter splitter_;
    std::string lastEvent_; ///< id of the last event that was passed on
    bool headPassed_ = false;
    bool eventPassed_ = false;
};

} // namespace lacewing::gateway
