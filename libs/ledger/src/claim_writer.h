#pragma once

#include "claim_index.h"
#include "stream_reader.h"

namespace lacewing::ledger
{

/** What a ClaimWriter wants done. */
struct ClaimOutput {
    /** An answer to a request, for the VM that sent it. */
    struct Reply {
        VmId to;
        ClaimMessage message;
    };
    std::vector<log::Request> requests;
    std::vector<Reply> replies;
};

/**
 * Settles requests for the keys of one partition: appends claims in batches, reads the stream, and replies with the
 * first record of each key. Replies come from what was read only, and not before the end of the stream was reached
 * once.
 */
class ClaimWriter
{
public:
    ClaimWriter(std::uint32_t partition, const ClaimsOptions &options);

    /** Takes a request; another for the same job replaces the one before. */
    void request(const ClaimRequest &request, Time now, ClaimOutput &output);
    /** @return false when the answer is to another part's request */
    bool handle(const log::Answer &answer, TagSource &tags, Time now, ClaimOutput &output);
    /** Carries out what is due: reads, appends and timeouts. */
    void tick(TagSource &tags, Time now, ClaimOutput &output);
    Time nextWake() const;

    void setBatchInterval(Duration interval) noexcept
    {
        batchInterval_ = interval;
    }
    /** Counts as used now. */
    void touch(Time now) noexcept
    {
        lastUsed_ = now;
    }
    /** When a request last came. */
    Time lastUsed() const noexcept
    {
        return lastUsed_;
    }
    /** True when nobody waits for a reply. */
    bool isIdle() const noexcept
    {
        return waiting_.empty();
    }
    std::size_t remembered() const noexcept
    {
        return index_.size();
    }
    void addTo(Claims::Stats &stats) const;

private:
    struct InFlight {
        log::RequestTag tag;
        Time expiry;
        std::vector<ClaimRequest> batch;
    };
    struct Appended {
        LogOffset offset;
        KeyDigest key;
        JobId job;
    };

    void read(const log::ReadAnswer &answer, Time now, ClaimOutput &output);
    void finishAppend(const log::AppendAnswer &answer, Time now, ClaimOutput &output);
    void reply(const ClaimRequest &first, ClaimOutput &output);
    void refuse(const KeyDigest &key, const JobId &job, ErrorKind kind, ClaimOutput &output);
    void refuseInvalid(ClaimOutput &output);
    void appendAgain();
    void loseLog(Time now, ClaimOutput &output);
    void startAppend(TagSource &tags, Time now, ClaimOutput &output);
    bool isWaiting(const ClaimRequest &request) const;

    log::StreamId stream_;
    ClaimsOptions options_;
    Duration batchInterval_ {};
    StreamReader reader_;
    ClaimIndex index_;
    bool hasLog_ = true; ///< false from a failed request to the log until a read succeeds
    bool hasReadAll_ = false; ///< the end of the stream was reached once
    Time nextAppend_ {};
    Time lastUsed_ {};
    std::size_t waitingCount_ = 0;
    std::unordered_map<KeyDigest, std::vector<ClaimRequest>> waiting_;
    std::deque<ClaimRequest> toAppend_;
    std::optional<InFlight> inFlight_;
    std::vector<ClaimRequest> unsure_; ///< appended without an answer
    Time unsureSince_ {};
    std::deque<Appended> appended_; ///< known to be in the log, not yet read
    Claims::Stats counters_;
};

} // namespace lacewing::ledger
