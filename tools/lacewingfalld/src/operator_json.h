#pragma once

#include <config/config.h>
#include <core/core.h>
#include <ledger/ledger.h>
#include <log/log.h>

#include <string>

/** JSON that operators see. */
namespace lacewing::daemon
{

struct VmSummary {
    VmId vm;
    AvailabilityZoneId zone;
    RegionId region;
    Incarnation incarnation;
    bool leaving = false;
    core::ControlStatus control;
    core::JobCounters jobs; ///< sum over the traffic threads
};
std::string vmSummaryJson(const VmSummary &summary);
std::string endpointsJson(const fleet::View &view, Time now);
std::string configurationJson(const std::vector<config::VersionedItem> &items);
std::string quarantineJson(const fleet::View &view);
std::string changeJson(const config::ChangeResult &result);
/** A list of JSON texts, one for each member VM; empty texts stand for VMs that didn't answer. */
std::string fleetJson(const std::vector<std::pair<fleet::MemberView, std::string>> &members);
/** Entries of the configuration stream; the offset to read on from is "next". */
std::string historyJson(const log::ReadAnswer &answer);
std::string auditJson(const std::vector<ledger::AuditEntry> &entries, LogOffset next, std::uint64_t dropped);
std::string chargesJson(const ledger::ChargeTotals &totals, LogOffset end);

/** Reads the body of a change. Fails with Malformed, Missing or what config::parseItems() reports. */
Result<config::Change> parseChange(std::string_view body);
/** Reads the field "by" of a body, and another text field; Missing when there is none. */
struct OperatorAction {
    OperatorId by;
    std::string subject;
};
Result<OperatorAction> parseAction(std::string_view body, const char *subjectField);

} // namespace lacewing::daemon
