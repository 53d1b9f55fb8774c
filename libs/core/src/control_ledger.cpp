#include "control_state.h"

namespace lacewing::core
{
namespace
{

using pipeline::FailureReason;

ClaimVerdict toCore(const ledger::Verdict &verdict)
{
    return std::visit(Overloaded {
                          [](const ledger::RunHere &) -> ClaimVerdict { return RunHere {}; },
                          [](const ledger::OwnedBy &owner) -> ClaimVerdict {
                              return OwnedBy { owner.vm, owner.job };
                          },
                          [](const ledger::Voided &) -> ClaimVerdict {
                              return MayNotRun { FailureReason::Voided, Ran::No };
                          },
                          [](const ledger::KeyExpired &) -> ClaimVerdict {
                              return MayNotRun { FailureReason::KeyExpired, Ran::Unknown };
                          },
                          // Another copy may carry the same content under another time of the key.
                          [](const ledger::KeyReused &) -> ClaimVerdict {
                              return MayNotRun { FailureReason::KeyInUse, Ran::Unknown };
                          },
                          [](const ledger::Unsettled &) -> ClaimVerdict {
                              return MayNotRun { FailureReason::LogUnavailable, Ran::Unknown };
                          },
                      },
                      verdict);
}

} // namespace

void ControlCore::State::tellJob(const JobId &job, JobEvent event)
{
    effects_.emplace_back(TellJobs { threadOf(job, settings.jobThreads), std::move(event) });
}

void ControlCore::State::askLog(std::vector<log::Request> requests)
{
    for (log::Request &request : requests) {
        effects_.emplace_back(AskLog { std::move(request) });
    }
}

void ControlCore::State::takeClaims(ledger::Claims::Effects effects)
{
    for (ledger::ClaimsEffect &effect : effects) {
        std::visit(Overloaded {
                       [&](log::Request &request) { effects_.emplace_back(AskLog { std::move(request) }); },
                       [&](ledger::SendClaimMessage &send) { sendTo(send.to, std::move(send.message)); },
                       [&](const ledger::ClaimSettled &settled) { settle(settled.job, settled.verdict); },
                   },
                   effect);
    }
}

void ControlCore::State::settle(const JobId &job, const ledger::Verdict &verdict)
{
    const bool runHere = std::holds_alternative<ledger::RunHere>(verdict);
    if (runHere && !claims.mayDispatch(job, now_)) {
        tellJob(job, ClaimSettled { job, MayNotRun { FailureReason::DeadlineExceeded, Ran::No } });
        return;
    }
    tellJob(job, ClaimSettled { job, toCore(verdict) });
}

void ControlCore::State::on(const WantClaim &event)
{
    if (event.ticket.empty()) {
        const ledger::ClaimWanted wanted { event.job,     event.workspace,   event.key,
                                           event.keyTime, event.fingerprint, event.deadline };
        takeClaims(claims.handle(wanted, now_, wall_));
        return;
    }
    const auto ticket = ledger::ticketFromText(event.ticket);
    if (!ticket) {
        settleTicket(event.job, ledger::TicketUnknown {});
        return;
    }
    const ledger::TicketVerdict verdict = tickets.use(*ticket, event.workspace, event.fingerprint, event.job, now_);
    if (std::holds_alternative<ledger::RunHere>(verdict)) {
        ticketed_.insert_or_assign(event.job, event);
    }
    settleTicket(event.job, verdict);
}

void ControlCore::State::on(const WantVoid &event)
{
    if (event.ticket.empty()) {
        const ledger::VoidWanted wanted { event.job,     event.workspace,   event.key,
                                          event.keyTime, event.fingerprint, event.deadline };
        takeClaims(claims.handle(wanted, now_, wall_));
        return;
    }
    const auto ticket = ledger::ticketFromText(event.ticket);
    settleTicket(event.job, ticket ? tickets.refuse(*ticket, event.workspace, now_) : ledger::TicketUnknown {});
}

void ControlCore::State::settleTicket(const JobId &job, const ledger::TicketVerdict &verdict)
{
    const ClaimVerdict settled =
        std::visit(Overloaded {
                       [](const ledger::RunHere &) -> ClaimVerdict { return RunHere {}; },
                       [](const ledger::OwnedBy &owner) -> ClaimVerdict {
                           return OwnedBy { owner.vm, owner.job };
                       },
                       [](const ledger::TicketEnded &ended) -> ClaimVerdict {
                           return OwnedBy { VmId(), ended.job };
                       },
                       // The driver forwards a request whose ticket names another VM before it becomes a job here.
                       [](const ledger::ForwardTo &) -> ClaimVerdict {
                           return MayNotRun { FailureReason::OwnerLost, Ran::Unknown };
                       },
                       [](const ledger::Voided &) -> ClaimVerdict {
                           return MayNotRun { FailureReason::Voided, Ran::No };
                       },
                       [](const ledger::KeyReused &) -> ClaimVerdict {
                           return MayNotRun { FailureReason::KeyInUse, Ran::Unknown };
                       },
                       [](const ledger::TicketUnknown &) -> ClaimVerdict {
                           return MayNotRun { FailureReason::KeyExpired, Ran::Unknown };
                       },
                   },
                   verdict);
    tellJob(job, ClaimSettled { job, settled });
}

void ControlCore::State::on(const WantPermit &event)
{
    permits_[{ event.permit.fingerprint, event.permit.endpoint }] = event.call;
    tellFleet(event.permit);
}

void ControlCore::State::on(const EndPermit &event)
{
    tellFleet(event.permit);
}

void ControlCore::State::on(const CrashSeen &event)
{
    tellFleet(event.crash);
}

void ControlCore::State::on(const ChargeStage &event)
{
    askLog(charges.add({ event.job, event.stage, event.workspace, event.jobClass, event.cost }, now_));
}

void ControlCore::State::on(const JobEnded &event)
{
    claims.handle(ledger::JobEnded { event.job }, now_, wall_);
    const auto ticketed = ticketed_.find(event.job);
    if (ticketed == ticketed_.end()) {
        return;
    }
    if (const auto ticket = ledger::ticketFromText(ticketed->second.ticket)) {
        tickets.ended(*ticket, event.ran);
    }
    ticketed_.erase(ticketed);
}

void ControlCore::State::on(const MintTicket &event)
{
    effects_.emplace_back(TicketMinted { event.request, event.index, tickets.mint(event.workspace, now_) });
}

void ControlCore::State::record(
    const OperatorId &who, std::string what, std::string subject, ConfigVersion from, ConfigVersion to)
{
    ledger::AuditEntry entry { wall_, who, std::move(what), std::move(subject), from, to, settings.vm };
    askLog(audit.add(entry, now_));
}

} // namespace lacewing::core
