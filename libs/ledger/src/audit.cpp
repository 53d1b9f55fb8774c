#include "batch_writer.h"

namespace lacewing::ledger
{

class Audit::State
{
public:
    State(Self self, BatchOptions options)
        : writer_(std::move(self), Part::Audit, auditStreamName, options)
    {
    }

    BatchWriter<AuditEntry> writer_;
};

Audit::Audit(Self self, BatchOptions options)
    : state_(std::make_unique<State>(std::move(self), options))
{
}

Audit::~Audit() = default;
Audit::Audit(Audit &&) noexcept = default;
Audit &Audit::operator=(Audit &&) noexcept = default;

Audit::Effects Audit::add(const AuditEntry &entry, Time now)
{
    return state_->writer_.add(entry, now);
}

Audit::Effects Audit::handle(const log::Answer &answer, Time now)
{
    return state_->writer_.handle(answer, now);
}

Audit::Effects Audit::tick(Time now)
{
    return state_->writer_.tick(now);
}

Audit::Effects Audit::flush(Time now)
{
    return state_->writer_.flush(now);
}

std::optional<Time> Audit::nextWake() const
{
    return state_->writer_.nextWake();
}

BatchStats Audit::stats() const
{
    return state_->writer_.stats();
}

std::vector<AuditEntry> AuditReader::read(const log::ReadAnswer &answer)
{
    std::vector<AuditEntry> entries;
    for (const log::Record &record : answer.records) {
        if (record.offset < nextRead_) {
            continue;
        }
        nextRead_ = record.offset.next();
        const auto batch = wire::decode<Batch<AuditEntry>>(record.data);
        if (!batch) {
            continue;
        }
        Writer &writer = writers_[batch.value().incarnation];
        if (batch.value().number > writer.lastBatch) {
            writer = { batch.value().number, batch.value().dropped };
            entries.insert(entries.end(), batch.value().entries.begin(), batch.value().entries.end());
        }
    }
    return entries;
}

std::uint64_t AuditReader::dropped() const noexcept
{
    std::uint64_t dropped = 0;
    for (const auto &[incarnation, writer] : writers_) {
        dropped += writer.dropped;
    }
    return dropped;
}

} // namespace lacewing::ledger
