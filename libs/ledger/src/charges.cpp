#include "batch_writer.h"

#include <set>

namespace lacewing::ledger
{

class Charges::State
{
public:
    State(Self self, BatchOptions options)
        : options_(options)
        , writer_(std::move(self), Part::Charges, chargeStreamName, options)
    {
    }

    /** Whether the stage was not charged before, as far as remembered; remembers it. */
    bool isNew(const Charge &charge, Time now)
    {
        while (!order_.empty() && order_.front().first + options_.keyMemory < now) {
            keys_.erase(order_.front().second);
            order_.pop_front();
        }
        const Key key { charge.job, charge.stage };
        if (!keys_.insert(key).second) {
            return false;
        }
        order_.emplace_back(now, key);
        return true;
    }

    BatchOptions options_;
    BatchWriter<Charge> writer_;
    std::uint64_t repeated_ = 0;

private:
    using Key = std::pair<JobId, StageIndex>;

    std::set<Key> keys_;
    std::deque<std::pair<Time, Key>> order_;
};

Charges::Charges(Self self, BatchOptions options)
    : state_(std::make_unique<State>(std::move(self), options))
{
}

Charges::~Charges() = default;
Charges::Charges(Charges &&) noexcept = default;
Charges &Charges::operator=(Charges &&) noexcept = default;

Charges::Effects Charges::add(const Charge &charge, Time now)
{
    if (!state_->isNew(charge, now)) {
        ++state_->repeated_;
        return {};
    }
    return state_->writer_.add(charge, now);
}

Charges::Effects Charges::handle(const log::Answer &answer, Time now)
{
    return state_->writer_.handle(answer, now);
}

Charges::Effects Charges::tick(Time now)
{
    return state_->writer_.tick(now);
}

Charges::Effects Charges::flush(Time now)
{
    return state_->writer_.flush(now);
}

std::optional<Time> Charges::nextWake() const
{
    return state_->writer_.nextWake();
}

BatchStats Charges::stats() const
{
    BatchStats stats = state_->writer_.stats();
    stats.repeated = state_->repeated_;
    return stats;
}

namespace
{

void add(ChargeTotal &total, const Charge &charge)
{
    ++total.charges;
    total.cost = Cost(total.cost.value() + charge.cost.value());
}

} // namespace

void ChargeTotals::read(const log::ReadAnswer &answer)
{
    for (const log::Record &record : answer.records) {
        if (record.offset < nextRead_) {
            continue;
        }
        nextRead_ = record.offset.next();
        const auto batch = wire::decode<Batch<Charge>>(record.data);
        if (!batch) {
            continue;
        }
        std::uint64_t &last = lastBatch_[batch.value().incarnation];
        if (batch.value().number <= last) {
            ++repeatedBatches_;
            continue;
        }
        last = batch.value().number;
        for (const Charge &charge : batch.value().entries) {
            add(byClass_[{ charge.workspace, charge.workClass }], charge);
            add(byStage_[charge.stage], charge);
        }
    }
}

} // namespace lacewing::ledger
