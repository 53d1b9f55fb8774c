#include "lease_table.h"
#include "stream_reader.h"

#include <wire/wire.h>

#include <algorithm>

namespace lacewing::ledger
{
namespace
{

/** Share of the lease's duration over which takers spread their attempts. */
constexpr double takeJitter = 0.1;

} // namespace

class Leases::State
{
public:
    State(Self self, std::uint64_t seed, LeasesOptions options)
        : table_(options.forgetAfter)
        , self_(std::move(self))
        , options_(options)
        , random_(seed)
        , reader_(log::StreamId(std::string(leaseStreamName)),
                  { options.readWait, options.logTimeout, options.retryDelay })
    {
    }

    void handle(const LeasesEvent &event, Time now);
    void tick(Time now);
    std::optional<Time> nextWake() const;
    std::optional<FencingNumber> mayOrder(const LeaseName &name, bool honoursFencing, Time now) const;

    LeaseTable table_;
    Effects effects_;

private:
    /** A record that this VM sent and that isn't accepted or given up. */
    struct Sent {
        std::uint64_t number = 0;
        Time at; ///< before it was sent
        log::RequestTag tag;
        LeaseAction action = LeaseAction::Take;
    };
    /** A lease that this VM wants. */
    struct Want {
        bool isHeld = false;
        Time validUntil {}; ///< while held
        Time takenAt {}; ///< when this VM sent the record that took the lease
        Time renewAt {};
        Time freeAt {}; ///< when the current holder's time is over, counted from reading its last record
        std::vector<Sent> sent;
        Time nextSend {};
    };

    void read(const log::ReadAnswer &answer, Time now);
    void readRecord(const log::Record &record, Time now);
    void accept(Want &want, const LeaseRecord &record, LogOffset offset, Time now);
    void observe(Want &want, const LeaseName &name, Time now);
    void lose(Want &want, const LeaseName &name);
    void finishAppend(const log::AppendAnswer &answer, Time now);
    void act(const LeaseName &name, Want &want, Time now);
    void send(LeaseAction action, const LeaseName &name, Want &want, Time now);
    void release(const LeaseName &name, Time now);
    Time nextAction(const Want &want) const;

    Self self_;
    LeasesOptions options_;
    Random random_;
    StreamReader reader_;
    TagSource tags_ { Part::Leases };
    bool hasReadAll_ = false;
    std::uint64_t number_ = 0;
    std::map<LeaseName, Want> wants_;
};

void Leases::State::handle(const LeasesEvent &event, Time now)
{
    std::visit(Overloaded {
                   [&](const LeaseWanted &wanted) {
                       const auto [place, isNew] = wants_.try_emplace(wanted.name);
                       if (isNew) {
                           observe(place->second, wanted.name, now);
                       }
                   },
                   [&](const LeaseUnwanted &unwanted) { release(unwanted.name, now); },
                   [&](const log::Answer &answer) {
                       if (const auto *readAnswer = std::get_if<log::ReadAnswer>(&answer)) {
                           read(*readAnswer, now);
                       } else {
                           finishAppend(std::get<log::AppendAnswer>(answer), now);
                       }
                   },
               },
               event);
    tick(now);
}

void Leases::State::read(const log::ReadAnswer &answer, Time now)
{
    const LogOffset from = reader_.position();
    if (!reader_.accept(answer, now)) {
        return;
    }
    for (const log::Record &record : answer.records) {
        if (record.offset >= from) {
            readRecord(record, now);
        }
    }
    hasReadAll_ = hasReadAll_ || reader_.isAtEnd();
}

void Leases::State::readRecord(const log::Record &record, Time now)
{
    const auto decoded = wire::decode<LeaseRecord>(record.data);
    if (!decoded) {
        return;
    }
    const LeaseRecord &lease = decoded.value();
    const bool isAccepted = table_.add(lease, record.offset, record.appendedAt);
    const auto found = wants_.find(lease.name);
    if (found == wants_.end()) {
        return;
    }
    Want &want = found->second;
    const bool isOwn = lease.vm == self_.vm && lease.incarnation == self_.incarnation;
    if (isAccepted && isOwn) {
        accept(want, lease, record.offset, now);
    } else if (isAccepted) {
        lose(want, lease.name);
        observe(want, lease.name, now);
    }
    if (isOwn) {
        std::erase_if(want.sent, [&](const Sent &sent) { return sent.number == lease.number; });
    }
}

/** Takes notice that a record of this VM was accepted. Its time counts from before it was sent. */
void Leases::State::accept(Want &want, const LeaseRecord &record, LogOffset offset, Time now)
{
    const auto isIt = [&](const Sent &sent) { return sent.number == record.number; };
    const auto sent = std::find_if(want.sent.begin(), want.sent.end(), isIt);
    if (record.action == LeaseAction::Release) {
        lose(want, record.name);
        observe(want, record.name, now);
        return;
    }
    if (sent == want.sent.end()) {
        return; // sent before the lease was given up and wanted again; it lapses
    }
    want.validUntil = sent->at + options_.duration;
    want.renewAt = sent->at + options_.renewEvery;
    if (!want.isHeld && record.action == LeaseAction::Take) {
        want.isHeld = true;
        want.takenAt = sent->at;
        effects_.emplace_back(LeaseGained { record.name, FencingNumber(offset.value()) });
    }
}

/** Sets from when the lease may be taken, counted from now, when its last record was read. */
void Leases::State::observe(Want &want, const LeaseName &name, Time now)
{
    const LeaseTable::Entry *last = table_.find(name);
    const bool isFree = last != nullptr && last->isReleased;
    // Also after a release: its holder may still be sending an order that it had asked leave for.
    const Duration wait = (isFree ? Duration::zero() : options_.duration) + options_.pauseMargin;
    want.freeAt = now + wait + fromSeconds(toSeconds(options_.duration) * takeJitter * random_.unit());
}

void Leases::State::lose(Want &want, const LeaseName &name)
{
    if (want.isHeld) {
        want.isHeld = false;
        effects_.emplace_back(LeaseLost { name });
    }
}

void Leases::State::finishAppend(const log::AppendAnswer &answer, Time now)
{
    for (auto &[name, want] : wants_) {
        for (const Sent &sent : want.sent) {
            if (sent.tag == answer.tag) {
                // Whether it was accepted is read from the log, also when the answer was lost.
                reader_.resume(now);
                return;
            }
        }
    }
}

void Leases::State::release(const LeaseName &name, Time now)
{
    const auto found = wants_.find(name);
    if (found == wants_.end()) {
        return;
    }
    Want &want = found->second;
    if (want.isHeld && now < want.validUntil) {
        send(LeaseAction::Release, name, want, now);
    }
    lose(want, name);
    wants_.erase(found);
}

void Leases::State::send(LeaseAction action, const LeaseName &name, Want &want, Time now)
{
    const LeaseTable::Entry *last = table_.find(name);
    LeaseRecord record { action, name, self_.vm, self_.incarnation, ++number_, {}, {} };
    if (last != nullptr) {
        record.previous = last->offset;
        record.fencing = last->holder.fencing;
    }
    const Sent sent { record.number, now, tags_.next(), action };
    want.sent.push_back(sent);
    want.nextSend = now + options_.retryDelay;
    effects_.emplace_back(
        log::Append { sent.tag, log::StreamId(std::string(leaseStreamName)), { wire::encode(record) } });
}

/** Renews a held lease and takes a free one; nothing is sent before the stream was read to its end. */
void Leases::State::act(const LeaseName &name, Want &want, Time now)
{
    if (want.isHeld && now >= want.validUntil) {
        lose(want, name);
        observe(want, name, now);
    }
    if (!hasReadAll_ || now < nextAction(want)) {
        return;
    }
    std::erase_if(want.sent, [&](const Sent &sent) { return sent.at + options_.duration <= now; });
    send(want.isHeld ? LeaseAction::Renew : LeaseAction::Take, name, want, now);
}

Time Leases::State::nextAction(const Want &want) const
{
    return latest(want.nextSend, want.isHeld ? want.renewAt : want.freeAt);
}

void Leases::State::tick(Time now)
{
    reader_.expire(now);
    for (auto &[name, want] : wants_) {
        act(name, want, now);
    }
    if (!wants_.empty()) {
        if (auto request = reader_.poll(tags_, now)) {
            effects_.emplace_back(std::move(*request));
        }
    }
}

std::optional<Time> Leases::State::nextWake() const
{
    if (wants_.empty()) {
        return std::nullopt;
    }
    Time wake = reader_.nextWake();
    for (const auto &[name, want] : wants_) {
        if (want.isHeld) {
            wake = std::min(wake, want.validUntil);
        }
        if (hasReadAll_) {
            wake = std::min(wake, nextAction(want));
        }
    }
    return wake;
}

std::optional<FencingNumber> Leases::State::mayOrder(const LeaseName &name, bool honoursFencing, Time now) const
{
    const auto found = wants_.find(name);
    if (found == wants_.end() || !found->second.isHeld) {
        return std::nullopt;
    }
    const Want &want = found->second;
    const bool isInTime = now + options_.pauseMargin < want.validUntil;
    // The one before may have sent its last order just before its time was over.
    const bool isAlone = honoursFencing || now >= want.takenAt + options_.longestOrder;
    if (!isInTime || !isAlone) {
        return std::nullopt;
    }
    return table_.find(name)->holder.fencing;
}

Leases::Leases(Self self, std::uint64_t seed, LeasesOptions options)
    : state_(std::make_unique<State>(std::move(self), seed, options))
{
}

Leases::~Leases() = default;
Leases::Leases(Leases &&) noexcept = default;
Leases &Leases::operator=(Leases &&) noexcept = default;

Leases::Effects Leases::handle(const LeasesEvent &event, Time now, WallTime /*wallNow*/)
{
    state_->handle(event, now);
    return std::exchange(state_->effects_, {});
}

Leases::Effects Leases::tick(Time now, WallTime /*wallNow*/)
{
    state_->tick(now);
    return std::exchange(state_->effects_, {});
}

std::optional<Time> Leases::nextWake() const
{
    return state_->nextWake();
}

std::optional<FencingNumber> Leases::mayOrder(const LeaseName &name, bool honoursFencing, Time now) const
{
    return state_->mayOrder(name, honoursFencing, now);
}

std::optional<LeaseHolder> Leases::holderOf(const LeaseName &name) const
{
    const LeaseTable::Entry *entry = state_->table_.find(name);
    return entry == nullptr ? std::nullopt : std::optional(entry->holder);
}

} // namespace lacewing::ledger
