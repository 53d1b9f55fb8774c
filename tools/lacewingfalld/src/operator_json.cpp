#include "operator_json.h"

#include <boost/outcome/try.hpp>
#include <nlohmann/json.hpp>

namespace lacewing::daemon
{
namespace
{

using Json = nlohmann::ordered_json;

std::string write(const Json &json)
{
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string hex(std::uint64_t value)
{
    char text[17] = {};
    std::snprintf(text, sizeof text, "%llx", static_cast<unsigned long long>(value));
    return text;
}

Json batchJson(const ledger::BatchStats &stats)
{
    return { { "written", stats.written },
             { "dropped", stats.dropped },
             { "repeated", stats.repeated },
             { "pending", stats.pending } };
}

Json jobsJson(const core::JobCounters &jobs)
{
    return {
        { "submitted", jobs.submitted },
        { "admitted", jobs.admitted },
        { "completed", jobs.completed },
        { "met", jobs.met },
        { "failed", jobs.failed },
        { "refused", jobs.refused },
        { "running", jobs.running },
        { "retries", jobs.retries },
        { "hedges", jobs.hedges },
        { "resumes", jobs.resumes },
        { "crashes", jobs.crashes },
        { "quarantined", jobs.quarantined },
        { "stale_results", jobs.staleResults },
        { "repeated_chunks", jobs.repeatedChunks },
    };
}

std::string itemToml(const std::optional<config::Item> &item)
{
    return item ? config::toToml({ *item }) : std::string();
}

Json changeEntry(const config::Change &change)
{
    return {
        { "kind", "change" },
        { "id", change.id.text() },
        { "by", change.by.text() },
        { "key", change.key.text() },
        { "base", change.base.value() },
        { "removes", !change.item.has_value() },
        { "toml", itemToml(change.item) },
    };
}

Result<Json> parseObject(std::string_view body)
{
    Json json = Json::parse(body, nullptr, false);
    if (json.is_discarded() || !json.is_object()) {
        return failure(ErrorKind::Malformed, "the body is not a JSON object");
    }
    return json;
}

Result<std::string> readText(const Json &json, const char *field)
{
    const auto found = json.find(field);
    if (found == json.end() || !found->is_string()) {
        return failure(ErrorKind::Missing, field);
    }
    return found->get<std::string>();
}

} // namespace

std::string vmSummaryJson(const VmSummary &summary)
{
    const core::ControlStatus &control = summary.control;
    Json leases = Json::array();
    for (const auto &[name, holder] : control.leases) {
        leases.push_back(
            { { "lease", name.text() }, { "vm", holder.vm.text() }, { "fencing", holder.fencing.value() } });
    }
    return write({
        { "vm", summary.vm.text() },
        { "zone", summary.zone.text() },
        { "region", summary.region.text() },
        { "incarnation", hex(summary.incarnation.value()) },
        { "state",
          summary.leaving     ? "leaving"
              : control.ready ? "ready"
                              : "starting" },
        { "config_version", control.configVersion.value() },
        { "config_reader", control.configReader },
        { "log_reachable", control.logReachable },
        { "log_silent_ms", toMilliseconds(control.sinceLogAnswer) },
        { "leases", std::move(leases) },
        { "jobs", jobsJson(summary.jobs) },
        { "claims",
          { { "appends", control.claims.appends },
            { "records_appended", control.claims.recordsAppended },
            { "records_read", control.claims.recordsRead },
            { "waiting", control.claims.waiting },
            { "remembered", control.claims.remembered } } },
        { "charges", batchJson(control.charges) },
        { "audit", batchJson(control.audit) },
        { "tickets", control.tickets },
    });
}

std::string endpointsJson(const fleet::View &view, Time now)
{
    Json endpoints = Json::array();
    for (const fleet::EndpointView &each : view.endpoints) {
        Json json {
            { "endpoint", each.endpoint.text() }, { "pool", each.pool.text() },           { "zone", each.zone.text() },
            { "address", each.address },          { "state", fleet::toText(each.state) },
        };
        if (each.load) {
            json["running"] = each.load->running;
            json["queued"] = each.load->queued;
            json["slots"] = each.load->slots;
            json["age_ms"] = toMilliseconds(std::chrono::duration_cast<Duration>(now - each.measuredAt));
        }
        endpoints.push_back(std::move(json));
    }
    return write({ { "endpoints", std::move(endpoints) } });
}

std::string configurationJson(const std::vector<config::VersionedItem> &items)
{
    Json list = Json::array();
    for (const config::VersionedItem &item : items) {
        list.push_back({ { "key", item.key.text() },
                         { "version", item.version.value() },
                         { "removed", !item.item.has_value() },
                         { "toml", itemToml(item.item) } });
    }
    return write({ { "items", std::move(list) } });
}

std::string quarantineJson(const fleet::View &view)
{
    Json list = Json::array();
    for (const auto &[fingerprint, state] : view.suspicions) {
        list.push_back({ { "fingerprint", hex(fingerprint.value()) }, { "state", fleet::toText(state) } });
    }
    return write({ { "requests", std::move(list) } });
}

std::string changeJson(const config::ChangeResult &result)
{
    Json json {
        { "id", result.id.text() },
        { "key", result.key.text() },
        { "state", result.rejected ? "rejected" : "accepted" },
        { "version", result.version.value() },
        { "current", result.current.value() },
    };
    if (result.rejected) {
        json["reason"] = toText(*result.rejected);
    }
    return write(json);
}

std::string fleetJson(const std::vector<std::pair<fleet::MemberView, std::string>> &members)
{
    Json list = Json::array();
    for (const auto &[member, text] : members) {
        Json json {
            { "vm", member.member.vm.text() },
            { "zone", member.member.zone.text() },
            { "member_state", fleet::toText(member.member.state) },
            { "leaving", member.leaving },
            { "answered", !text.empty() },
        };
        if (!text.empty()) {
            json["status"] = Json::parse(text, nullptr, false);
        }
        list.push_back(std::move(json));
    }
    return write({ { "vms", std::move(list) } });
}

std::string historyJson(const log::ReadAnswer &answer)
{
    Json list = Json::array();
    for (const log::Record &record : answer.records) {
        const auto entry = config::decodeEntry(record.data);
        Json json { { "kind", "unreadable" } };
        if (entry) {
            json = std::visit(Overloaded {
                                  [](const config::Change &change) { return changeEntry(change); },
                                  [](const config::SnapshotPart &part) {
                                      return Json { { "kind", "snapshot" }, { "as_of", part.asOf.value() } };
                                  },
                              },
                              entry.value());
        }
        json["version"] = record.offset.value();
        json["at_ms"] = toMilliseconds(record.appendedAt.time_since_epoch());
        list.push_back(std::move(json));
    }
    return write({ { "entries", std::move(list) },
                   { "next", log::nextOffset(answer).value() },
                   { "end", answer.next.value() },
                   { "first_retained", answer.firstRetained.value() } });
}

std::string auditJson(const std::vector<ledger::AuditEntry> &entries, LogOffset next, std::uint64_t dropped)
{
    Json list = Json::array();
    for (const ledger::AuditEntry &entry : entries) {
        list.push_back({ { "at_ms", toMilliseconds(entry.at.time_since_epoch()) },
                         { "who", entry.who.text() },
                         { "what", entry.what },
                         { "subject", entry.subject },
                         { "from", entry.from.value() },
                         { "to", entry.to.value() },
                         { "vm", entry.vm.text() } });
    }
    return write({ { "entries", std::move(list) }, { "next", next.value() }, { "dropped", dropped } });
}

std::string chargesJson(const ledger::ChargeTotals &totals, LogOffset end)
{
    Json byClass = Json::array();
    for (const auto &[key, total] : totals.byClass()) {
        byClass.push_back({ { "workspace", key.first.text() },
                            { "class", key.second.text() },
                            { "stages", total.charges },
                            { "cost_micros", total.cost.value() } });
    }
    Json byStage = Json::array();
    for (const auto &[stage, total] : totals.byStage()) {
        byStage.push_back(
            { { "stage", stage.value() }, { "stages", total.charges }, { "cost_micros", total.cost.value() } });
    }
    return write({ { "by_class", std::move(byClass) },
                   { "by_stage", std::move(byStage) },
                   { "repeated_batches", totals.repeatedBatches() },
                   { "next", end.value() } });
}

Result<config::Change> parseChange(std::string_view body)
{
    BOOST_OUTCOME_TRY(json, parseObject(body));
    BOOST_OUTCOME_TRY(id, readText(json, "id"));
    BOOST_OUTCOME_TRY(by, readText(json, "by"));
    BOOST_OUTCOME_TRY(key, readText(json, "key"));
    BOOST_OUTCOME_TRY(toml, readText(json, "toml"));
    const auto base = json.find("base");
    if (base == json.end() || !base->is_number_unsigned()) {
        return failure(ErrorKind::Missing, "base");
    }
    config::Change change;
    change.id = config::ChangeId(std::move(id));
    change.by = OperatorId(std::move(by));
    change.key = config::ItemKey(std::move(key));
    change.base = ConfigVersion(base->get<std::uint64_t>());
    if (toml.empty()) {
        return change;
    }
    BOOST_OUTCOME_TRY(items, config::parseItems(toml));
    if (items.size() != 1 || config::keyOf(items.front()) != change.key) {
        return failure(ErrorKind::InvalidArgument, "toml");
    }
    change.item = std::move(items.front());
    return change;
}

Result<OperatorAction> parseAction(std::string_view body, const char *subjectField)
{
    BOOST_OUTCOME_TRY(json, parseObject(body));
    BOOST_OUTCOME_TRY(by, readText(json, "by"));
    BOOST_OUTCOME_TRY(subject, readText(json, subjectField));
    return OperatorAction { OperatorId(std::move(by)), std::move(subject) };
}

} // namespace lacewing::daemon
