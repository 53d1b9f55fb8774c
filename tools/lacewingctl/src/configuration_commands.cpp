#include "commands.h"
#include "table.h"

#include <config/config.h>
#include <settings/settings.h>

#include <chrono>
#include <cstdio>
#include <map>
#include <random>
#include <thread>

namespace lacewing::ctl
{
namespace
{

constexpr int statusOk = 200;
constexpr int statusConflict = 409;
constexpr int statusGatewayTimeout = 504;
/** Longest wait of apply --wait for all VMs. */
constexpr Duration inForceLimit = 15s;
constexpr Duration inForcePoll = 200ms;

/** One item that the file and the fleet don't agree on. */
struct Difference {
    std::string key;
    std::uint64_t base = 0;
    std::string before; ///< TOML; empty: there is none
    std::string after;
};

Result<std::vector<config::Item>> readItems(const std::string &path)
{
    const auto text = settings::readFile(path);
    if (!text) {
        return boost::outcome_v2::failure(text.error());
    }
    auto items = config::parseItems(text.value());
    if (!items) {
        return failure(items.error().kind, path + ": " + items.error().detail);
    }
    for (const config::Item &item : items.value()) {
        if (const auto valid = config::validate(item); !valid) {
            return failure(valid.error().kind, path + ": " + valid.error().detail);
        }
    }
    return items;
}

ExitCode reportInvalid(const Error &error)
{
    std::fprintf(stderr, "lacewingctl: %s: %s\n", std::string(toText(error.kind)).c_str(), error.detail.c_str());
    return ExitCode::InvalidFile;
}

/** Items that others refer to come first, so that every step leaves valid references. */
int rankOf(const std::string &key)
{
    if (key.starts_with("class/")) {
        return 2;
    }
    return key.starts_with("pipeline/") ? 1 : 0;
}

std::vector<Difference> differencesOf(const std::vector<config::Item> &wanted, const Json &current, bool prune)
{
    std::map<std::string, Difference> byKey;
    for (const Json &item : current["items"]) {
        Difference difference;
        difference.key = item["key"];
        difference.base = item["version"];
        difference.before = item["toml"];
        difference.after = prune ? std::string() : difference.before;
        byKey[difference.key] = difference;
    }
    for (const config::Item &item : wanted) {
        Difference &difference = byKey[config::keyOf(item).text()];
        difference.key = config::keyOf(item).text();
        difference.after = config::toToml({ item });
    }
    std::vector<Difference> changed;
    for (const auto &[key, difference] : byKey) {
        if (difference.before != difference.after) {
            changed.push_back(difference);
        }
    }
    std::stable_sort(changed.begin(), changed.end(), [](const Difference &left, const Difference &right) {
        const int leftRank = left.after.empty() ? -rankOf(left.key) : rankOf(left.key);
        const int rightRank = right.after.empty() ? -rankOf(right.key) : rankOf(right.key);
        return std::pair(left.after.empty(), leftRank) < std::pair(right.after.empty(), rightRank);
    });
    return changed;
}

/** Reads the file and the fleet's items; on failure prints why. */
std::variant<ExitCode, std::vector<Difference>> findDifferences(const CommandOptions &options, const std::string &path)
{
    const auto items = readItems(path);
    if (!items) {
        return reportInvalid(items.error());
    }
    const auto current = OperatorClient(options.address, options.token).get("/v1/configuration");
    if (!current) {
        return reportFailure(current.error());
    }
    if (current.value().status != statusOk) {
        return reportRefusal(current.value());
    }
    return differencesOf(items.value(), current.value().body, options.prune);
}

std::string newChangeId()
{
    std::random_device device;
    char text[32];
    std::snprintf(text, sizeof text, "c-%08x%08x", device(), device());
    return text;
}

/** Applies one change; a lost answer is settled by asking for the change by its id. */
Result<OperatorAnswer> applyOne(const OperatorClient &client, const Difference &difference, const std::string &by)
{
    const std::string id = newChangeId();
    const Json body {
        { "id", id }, { "by", by }, { "key", difference.key }, { "base", difference.base }, { "toml", difference.after }
    };
    auto answer = client.post("/v1/changes", body);
    const bool lost = !answer && answer.error().kind != ErrorKind::Unreachable;
    const bool late = answer && answer.value().status == statusGatewayTimeout;
    if (!lost && !late) {
        return answer;
    }
    constexpr int tries = 20;
    for (int index = 0; index < tries; ++index) {
        std::this_thread::sleep_for(std::chrono::milliseconds(500));
        auto found = client.get("/v1/changes/" + id);
        if (found && found.value().status == statusOk) {
            found.value().status = found.value().body["state"] == "accepted" ? statusOk : statusConflict;
            return found;
        }
    }
    return failure(ErrorKind::Timeout, "the change " + id + " could not be settled");
}

ExitCode waitUntilInForce(const CommandOptions &options, std::uint64_t version)
{
    const OperatorClient client(options.address, options.token);
    const auto limit = std::chrono::steady_clock::now() + inForceLimit;
    while (std::chrono::steady_clock::now() < limit) {
        const auto fleet = client.get("/v1/fleet");
        if (!fleet) {
            return reportFailure(fleet.error());
        }
        std::size_t behind = 0;
        std::size_t silent = 0;
        for (const Json &vm : fleet.value().body["vms"]) {
            const bool gone = vm["member_state"] == "dead" || vm["member_state"] == "left";
            silent += !vm["answered"].get<bool>() && !gone ? 1 : 0;
            behind += vm["answered"].get<bool>() && vm["status"]["config_version"] < version ? 1 : 0;
        }
        if (behind == 0 && silent == 0) {
            std::printf("in force on all %zu VMs\n", fleet.value().body["vms"].size());
            return ExitCode::Done;
        }
        std::this_thread::sleep_for(inForcePoll);
    }
    std::fputs("lacewingctl: not yet in force everywhere; see status\n", stderr);
    return ExitCode::Unknown;
}

} // namespace

ExitCode runCheck(const CommandOptions & /*options*/, const std::vector<std::string> &arguments)
{
    const std::string &path = arguments[0];
    const auto text = settings::readFile(path);
    if (!text) {
        return reportInvalid(text.error());
    }
    const bool isSettings = text.value().find("[vm]") != std::string::npos;
    if (isSettings) {
        const auto settings = settings::parse(text.value(), path);
        if (!settings) {
            return reportInvalid(settings.error());
        }
        std::printf("%s: valid settings of %s\n", path.c_str(), settings.value().vm.name.text().c_str());
        return ExitCode::Done;
    }
    const auto items = readItems(path);
    if (!items) {
        return reportInvalid(items.error());
    }
    config::FleetConfig whole;
    for (const config::Item &item : items.value()) {
        config::overlay(whole, { config::keyOf(item), ConfigVersion(1), item });
    }
    if (const auto valid = config::validate(whole); !valid) {
        return reportInvalid(valid.error());
    }
    std::printf("%s: valid configuration of %zu items\n", path.c_str(), items.value().size());
    return ExitCode::Done;
}

ExitCode runDiff(const CommandOptions &options, const std::vector<std::string> &arguments)
{
    const auto found = findDifferences(options, arguments[0]);
    if (const auto *code = std::get_if<ExitCode>(&found)) {
        return *code;
    }
    const auto &differences = std::get<std::vector<Difference>>(found);
    Json list = Json::array();
    for (const Difference &difference : differences) {
        list.push_back({ { "key", difference.key }, { "before", difference.before }, { "after", difference.after } });
    }
    if (options.json) {
        std::puts(list.dump(2).c_str());
        return ExitCode::Done;
    }
    for (const Difference &difference : differences) {
        std::printf("%s %s\n",
                    difference.before.empty()      ? "new    "
                        : difference.after.empty() ? "remove "
                                                   : "change ",
                    difference.key.c_str());
    }
    std::printf("%zu differences\n", differences.size());
    return ExitCode::Done;
}

ExitCode runApply(const CommandOptions &options, const std::vector<std::string> &arguments)
{
    if (options.by.empty()) {
        std::fputs("lacewingctl: name yourself with --by or LACEWING_OPERATOR\n", stderr);
        return ExitCode::Usage;
    }
    const auto found = findDifferences(options, arguments[0]);
    if (const auto *code = std::get_if<ExitCode>(&found)) {
        return *code;
    }
    const OperatorClient client(options.address, options.token);
    std::uint64_t version = 0;
    std::size_t applied = 0;
    for (const Difference &difference : std::get<std::vector<Difference>>(found)) {
        const auto answer = applyOne(client, difference, options.by);
        if (!answer) {
            std::fprintf(stderr, "%s: ", difference.key.c_str());
            return reportFailure(answer.error());
        }
        if (answer.value().status != statusOk) {
            std::fprintf(stderr, "%s was not changed; %zu items before it were. ", difference.key.c_str(), applied);
            return reportRefusal(answer.value());
        }
        version = std::max(version, answer.value().body["version"].get<std::uint64_t>());
        ++applied;
        std::printf("%s is at version %llu\n", difference.key.c_str(), static_cast<unsigned long long>(version));
    }
    std::printf("%zu items changed\n", applied);
    return options.wait && applied > 0 ? waitUntilInForce(options, version) : ExitCode::Done;
}

ExitCode runHistory(const CommandOptions &options, const std::vector<std::string> & /*arguments*/)
{
    return getAndShow(options, "/v1/history", [](const Json &body) {
        std::vector<std::vector<std::string>> rows { { "VERSION", "KIND", "KEY", "BY", "BASE" } };
        for (const Json &entry : body["entries"]) {
            rows.push_back({ std::to_string(entry["version"].get<std::uint64_t>()),
                             entry["kind"],
                             entry.value("key", ""),
                             entry.value("by", ""),
                             entry.contains("base") ? entry["base"].dump() : "" });
        }
        std::fputs(formatTable(rows).c_str(), stdout);
    });
}

} // namespace lacewing::ctl
