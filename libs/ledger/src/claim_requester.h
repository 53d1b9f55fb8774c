#pragma once

#include "claim_routes.h"

#include <unordered_map>

namespace lacewing::ledger
{

/** Has this VM's own requests settled: asks one writer after the other until one replies or the deadline passes. */
class ClaimRequester
{
public:
    /** A request for a writer, which may be this VM. */
    struct Ask {
        VmId writer;
        ClaimRequest request;
    };
    struct Output {
        std::vector<Ask> asks;
        std::vector<ClaimSettled> settled;
    };

    ClaimRequester(const ClaimsOptions &options, const ClaimRoutes &routes)
        : options_(options)
        , routes_(routes)
    {
    }

    void add(const ClaimRequest &request, Time deadline, Time now, WallTime wallNow, Output &output);
    void onReply(const ClaimReply &reply, Time now, Output &output);
    void onRefusal(const VmId &from, const ClaimRefusal &refusal, Time now, Output &output);
    void endJob(const JobId &job);
    void tick(Time now, Output &output);
    std::optional<Time> nextWake() const;

    bool mayDispatch(const JobId &job, Time now) const;
    std::size_t waiting() const noexcept
    {
        return waiting_.size();
    }
    std::uint64_t retries() const noexcept
    {
        return retries_;
    }

private:
    struct Waiting {
        ClaimRequest request;
        Time deadline;
        Time retryAt;
        std::size_t tries = 0;
        VmId asked; ///< the writer asked last
    };

    void ask(Waiting &waiting, Time now, Output &output);
    void settle(const JobId &job, Verdict verdict, Time deadline, Output &output);

    ClaimsOptions options_;
    const ClaimRoutes &routes_;
    std::unordered_map<JobId, Waiting> waiting_;
    std::unordered_map<JobId, Time> granted_; ///< jobs told RunHere, and their deadlines
    std::uint64_t retries_ = 0;
};

} // namespace lacewing::ledger
