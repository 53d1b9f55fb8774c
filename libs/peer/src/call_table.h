#pragma once

#include "framing.h"
#include "link.h"

#include <base/base.h>
#include <peer/peer.h>

#include <map>
#include <memory>

namespace lacewing::peer
{

/** One outgoing call. */
struct Call {
    Call(PeerCallHandle ownHandle, std::string callRequest, CallLimits callLimits, CallHandlers callHandlers)
        : handle(ownHandle)
        , request(std::move(callRequest))
        , limits(callLimits)
        , handlers(std::move(callHandlers))
    {
    }

    PeerCallHandle handle;
    std::string request; ///< empty once sent
    CallLimits limits;
    CallHandlers handlers;
    Time startedAt {};
    Time sentAt {};
    Time lastDataAt {};
    bool isSent = false;
    bool hasData = false;
    bool isDone = false;
    std::function<void()> release; ///< takes the call off its queue or link
    TimerHandle timer;
};
using CallPtr = std::shared_ptr<Call>;

/** All outgoing calls that are not done: their handles, time limits and ends. */
class CallTable : public std::enable_shared_from_this<CallTable>
{
public:
    explicit CallTable(const LinkContext &context)
        : context_(context)
    {
    }
    ~CallTable();
    CallTable(const CallTable &) = delete;
    CallTable &operator=(const CallTable &) = delete;

    CallPtr add(std::string request, CallLimits limits, CallHandlers handlers);
    void markSent(Call &call);
    void markData(Call &call);
    void end(const CallPtr &call);
    void fail(const CallPtr &call, const Error &error, bool sent);
    /** Fails a call in the loop's next pass. */
    void failLater(const CallPtr &call, Error error, bool sent);
    /** Ends a call without telling its handlers. */
    void cancel(PeerCallHandle handle);

private:
    /** When a limit of the call runs out, and how it fails then. */
    struct NextLimit {
        Time due = Time::max();
        Error error;
    };

    Time now() const;
    static NextLimit nextLimit(const Call &call);
    void arm(const CallPtr &call);
    void checkLimits(const CallPtr &call, Time firedAt);
    void finish(const CallPtr &call);

    LinkContext context_;
    PeerCallHandle lastHandle_;
    std::map<PeerCallHandle, CallPtr> calls_;
};

} // namespace lacewing::peer
