#include "claim_requester.h"
#include "claim_writer.h"

namespace lacewing::ledger
{

class Claims::State
{
public:
    State(Self self, ClaimsOptions options)
        : self_(std::move(self))
        , options_(options)
        , routes_(self_)
        , requester_(options_, routes_)
    {
    }

    void handle(const ClaimsEvent &event, Time now, WallTime wallNow);
    void tick(Time now);
    std::optional<Time> nextWake() const;
    Effects takeEffects()
    {
        return std::exchange(effects_, {});
    }
    Duration batchInterval() const;
    Stats stats() const;

    Self self_;
    ClaimsOptions options_;
    ClaimRoutes routes_;
    ClaimRequester requester_;

private:
    void receive(const VmId &from, const ClaimMessage &message, Time now);
    void setMembers(const std::vector<Member> &members, Time now);
    void dropIdle(Time now);
    ClaimWriter &writerOf(std::uint32_t partition, Time now);
    void askWriter(const ClaimRequest &request, Time now);
    void carryOut(ClaimRequester::Output output, Time now);
    void carryOut(ClaimOutput output, Time now);

    TagSource tags_ { Part::Claims };
    std::map<std::uint32_t, ClaimWriter> writers_; ///< by partition
    Effects effects_;
};

void Claims::State::handle(const ClaimsEvent &event, Time now, WallTime wallNow)
{
    const auto add = [&](ClaimKind kind, const auto &wanted) {
        const KeyDigest key = digestOf(wanted.workspace, wanted.key);
        const ClaimRequest request { kind, key, wanted.keyTime, wanted.fingerprint, self_.vm, wanted.job };
        ClaimRequester::Output output;
        requester_.add(request, wanted.deadline, now, wallNow, output);
        carryOut(std::move(output), now);
    };
    std::visit(Overloaded {
                   [&](const ClaimWanted &wanted) { add(ClaimKind::Run, wanted); },
                   [&](const VoidWanted &wanted) { add(ClaimKind::Void, wanted); },
                   [&](const JobEnded &ended) { requester_.endJob(ended.job); },
                   [&](const ClaimMessageReceived &received) { receive(received.from, received.message, now); },
                   [&](const MembersChanged &changed) { setMembers(changed.members, now); },
                   [&](const log::Answer &answer) {
                       for (auto &[partition, writer] : writers_) {
                           ClaimOutput output;
                           if (writer.handle(answer, tags_, now, output)) {
                               carryOut(std::move(output), now);
                               break;
                           }
                       }
                   },
               },
               event);
}

void Claims::State::receive(const VmId &from, const ClaimMessage &message, Time now)
{
    ClaimRequester::Output output;
    std::visit(Overloaded {
                   [&](const ClaimRequest &request) { askWriter(request, now); },
                   [&](const ClaimReply &reply) { requester_.onReply(reply, now, output); },
                   [&](const ClaimRefusal &refusal) { requester_.onRefusal(from, refusal, now, output); },
               },
               message);
    carryOut(std::move(output), now);
}

ClaimWriter &Claims::State::writerOf(std::uint32_t partition, Time now)
{
    const auto [place, isNew] = writers_.try_emplace(partition, partition, options_);
    if (isNew) {
        place->second.setBatchInterval(batchInterval());
        place->second.touch(now);
    }
    return place->second;
}

void Claims::State::askWriter(const ClaimRequest &request, Time now)
{
    ClaimWriter &writer = writerOf(partitionOf(request.key), now);
    ClaimOutput output;
    writer.request(request, now, output);
    writer.tick(tags_, now, output);
    carryOut(std::move(output), now);
}

void Claims::State::setMembers(const std::vector<Member> &members, Time now)
{
    routes_.setMembers(members);
    for (std::uint32_t partition = 0; partition < claimPartitions; ++partition) {
        if (routes_.isCandidate(partition)) {
            writerOf(partition, now);
        }
    }
    for (auto &[partition, writer] : writers_) {
        writer.setBatchInterval(batchInterval());
    }
    tick(now);
}

Duration Claims::State::batchInterval() const
{
    const double writers = double(routes_.zones()) * claimPartitions;
    return fromSeconds(writers / options_.appendsPerSecond);
}

/** Hands out what the requester wants; requests to this VM's own writers are settled on the spot if they can be. */
void Claims::State::carryOut(ClaimRequester::Output output, Time now)
{
    for (ClaimSettled &settled : output.settled) {
        effects_.emplace_back(std::move(settled));
    }
    for (ClaimRequester::Ask &ask : output.asks) {
        if (ask.writer == self_.vm) {
            askWriter(ask.request, now);
        } else {
            effects_.emplace_back(SendClaimMessage { std::move(ask.writer), std::move(ask.request) });
        }
    }
}

void Claims::State::carryOut(ClaimOutput output, Time now)
{
    for (log::Request &request : output.requests) {
        effects_.emplace_back(std::move(request));
    }
    for (ClaimOutput::Reply &reply : output.replies) {
        if (reply.to == self_.vm) {
            receive(self_.vm, reply.message, now);
        } else {
            effects_.emplace_back(SendClaimMessage { std::move(reply.to), std::move(reply.message) });
        }
    }
}

void Claims::State::tick(Time now)
{
    dropIdle(now);
    for (auto &[partition, writer] : writers_) {
        ClaimOutput output;
        writer.tick(tags_, now, output);
        carryOut(std::move(output), now);
    }
    ClaimRequester::Output output;
    requester_.tick(now, output);
    carryOut(std::move(output), now);
}

/** Forgets partitions that this VM is no candidate for and that nobody has asked about for a while. */
void Claims::State::dropIdle(Time now)
{
    std::erase_if(writers_, [&](const auto &entry) {
        const ClaimWriter &writer = entry.second;
        const bool isUnused = writer.isIdle() && now - writer.lastUsed() >= options_.idleAfter;
        return isUnused && !routes_.isCandidate(entry.first);
    });
}

std::optional<Time> Claims::State::nextWake() const
{
    std::optional<Time> wake = requester_.nextWake();
    for (const auto &[partition, writer] : writers_) {
        wake = earliest(wake, writer.nextWake());
    }
    return wake;
}

Claims::Stats Claims::State::stats() const
{
    Stats stats;
    for (const auto &[partition, writer] : writers_) {
        writer.addTo(stats);
    }
    stats.retries = requester_.retries();
    stats.waiting = requester_.waiting();
    return stats;
}

Claims::Claims(Self self, ClaimsOptions options)
    : state_(std::make_unique<State>(std::move(self), options))
{
}

Claims::~Claims() = default;
Claims::Claims(Claims &&) noexcept = default;
Claims &Claims::operator=(Claims &&) noexcept = default;

Claims::Effects Claims::handle(const ClaimsEvent &event, Time now, WallTime wallNow)
{
    state_->handle(event, now, wallNow);
    return state_->takeEffects();
}

Claims::Effects Claims::tick(Time now, WallTime /*wallNow*/)
{
    state_->tick(now);
    return state_->takeEffects();
}

std::optional<Time> Claims::nextWake() const
{
    return state_->nextWake();
}

bool Claims::mayDispatch(const JobId &job, Time now) const
{
    return state_->requester_.mayDispatch(job, now);
}

Duration Claims::batchInterval() const
{
    return state_->batchInterval();
}

Claims::Stats Claims::stats() const
{
    return state_->stats();
}

} // namespace lacewing::ledger
