#pragma once

#include "context.h"
#include "decision_log.h"
#include "fleet_state.h"
#include "piece_service.h"

#include <dispatch/dispatch.h>
#include <routing/routing.h>
#include <stages/stages.h>

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace lacewing::gateway
{

class RequestRun;

/** What the requests of one VM share. */
struct RunShared {
    Context &context;
    FleetLinks &links;
    FleetState &state;
    PieceService &pieces;
    net::HttpClient &client;
    dispatch::EndpointChooser &chooser;
    dispatch::PrefixMemory &prefixes;
    dispatch::SuspectList &suspects;
    DecisionLog &decisions;
    Random &random;
    dispatch::RefusedCallers refused;
    std::unordered_map<routing::ServiceId, dispatch::RetryBudget> budgets;
    std::unordered_map<routing::RouteId, double> meanTokens; ///< learned size of a route's requests
    std::unordered_map<routing::RouteId, double> meanPieces; ///< learned number of their pieces
    dispatch::CrashWatch crashes;
    std::set<std::shared_ptr<RequestRun>> open;

    /** No connection to an endpoint could be made: what it ran shortly before is suspect, here and at all VMs. */
    void endpointUnreachable(const EndpointId &endpoint);
    /** Counts a final answer. @param status 0: none was given */
    void count(const std::string &route, int status, Duration time);

    dispatch::RetryBudget &budget(const routing::ServiceId &service);
};

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
    routing::ServiceId chooseService();
    void chooseSessionEngine();
    void judgeWorth();
    bool admitStages();

    // Stages
    void beginStages();
    void submitReady();
    stages::PieceOrder makeOrder(const stages::ReadyPiece &piece) const;
    void pieceDone(stages::PieceIndex index, const PieceOutcome &outcome);
    void pieceFailed(stages::PieceIndex index, userplatform::PieceFailure failure);
    void releaseUnneeded();
    void releaseAll();
    void releaseHandles(const std::vector<stages::ResultHandle> &handles);
    AvailabilityZoneId resultZone() const;
    AvailabilityZoneId sessionZone() const;
    std::uint32_t sessionTokens() const;

    // Sends
    void dispatch();
    std::vector<dispatch::Candidate> candidates() const;
    double extraMs(const routing::EndpointEntry &entry) const;
    void send(const routing::EndpointEntry &entry);
    void headReceived(const net::HttpHead &head);
    void bodyReceived(std::string_view bytes);
    void sendEnded(const net::HttpEnd &end);
    void answerWhole();
    void answerBroken(const net::HttpEnd &end);
    void answerNotRun();
    bool isGenuine() const;
    void closeSend(dispatch::SendOutcome outcome);
    void firstEvent();
    void forwardEvents(std::string_view bytes);
    /** Sends again, or resumes, if rules and budget allow. */
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
    EndpointId sessionEngine_; ///< empty: the request belongs to no session
    Fingerprint fingerprint_;
    Time deadline_;
    double worth_ = 1; ///< of the request, against the others of its route and of more urgent routes
    double size_ = 1; ///< credit against the mean of its route
    TimerHandle deadlineTimer_;
    Phase phase_ = Phase::New;

    std::optional<stages::StagePlan> plan_;
    std::vector<Submission> submissions_;
    std::unordered_map<stages::ResultHandle, HeldResult> results_;
    std::unordered_map<stages::ResultHandle, std::uint32_t> stageOfResult_;
    int pieceRepeats_ = 0;
    std::optional<Time> stagesDoneAt_;

    net::HttpCallHandle call_;
    std::optional<routing::EndpointEntry> endpoint_; ///< of the send in progress
    std::vector<EndpointId> tried_;
    int sends_ = 0; ///< that may have reached an endpoint
    double workMs_ = 0; ///< announced to the chooser
    Time sentAt_;
    std::optional<Duration> firstByte_;
    net::HttpHead head_;
    userplatform::AnswerFacts answer_;
    std::string body_;
    bool mayHaveRun_ = false; ///< some endpoint may have run it
    net::SseSplitter splitter_;
    std::string lastEvent_; ///< id of the last event that was passed on
    bool headPassed_ = false;
    bool eventPassed_ = false;
};

} // namespace lacewing::gateway
