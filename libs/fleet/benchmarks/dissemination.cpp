#include "../tests/cluster.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <string>

using namespace lacewing;
using namespace lacewing::fleet;
using namespace lacewing::fleet::test;

/**
 * Measures how facts spread among VMs over an in-memory link in virtual time, and what a VM spends on control.
 *
 *   bench_fleet_dissemination [spread|control|faults|slopes]...   all when none is named
 */
namespace
{

/** A way to spread new facts within a zone; the product's own, the hop switch from 4, when `fanout` is empty. */
struct Variant {
    const char *name;
    std::function<Fanout(std::uint32_t)> fanout;
};

/** VMs in zones. */
struct Size {
    std::size_t nodes;
    std::size_t zones;
};

constexpr std::uint32_t meshDegree = 8; ///< VMs that hear of a fact from one VM, pushed or announced

std::vector<Variant> variants()
{
    return {
        { "hop switch d=4", {} },
        { "push 4",
          [](std::uint32_t) {
              return Fanout { 4, 0 };
          } },
        { "push 6",
          [](std::uint32_t) {
              return Fanout { 6, 0 };
          } },
        { "push 8",
          [](std::uint32_t) {
              return Fanout { meshDegree, 0 };
          } },
        { "pull 8",
          [](std::uint32_t) {
              return Fanout { 0, meshDegree };
          } },
        { "push 2 + names 6",
          [](std::uint32_t) {
              return Fanout { 2, meshDegree - 2 };
          } },
        { "push 4 + names 4",
          [](std::uint32_t) {
              return Fanout { 4, meshDegree - 4 };
          } },
        { "hop switch d=8",
          [](std::uint32_t hop) {
              const std::uint32_t push = meshDegree - std::min(hop, meshDegree);
              return Fanout { push, meshDegree - push };
          } },
    };
}

ConfigFact change(std::uint64_t number, WallTime at)
{
    const config::ClassSpec spec { ClassId("class-" + std::to_string(number)),
                                   PipelineId("pipeline-of-the-class"),
                                   11s,
                                   0.95,
                                   Cost(4'000'000),
                                   std::nullopt,
                                   std::nullopt };
    const config::Item item(spec);
    return { { config::keyOf(item), ConfigVersion(1'000'000 + number), item },
             config::ChangeId("change-0123456789abcdef-" + std::to_string(number)),
             OperatorId("operator-1"),
             at };
}

void build(Cluster &cluster, Size size)
{
    cluster.listInterval = 30s;
    for (std::size_t index = cluster.size(); index < size.nodes; ++index) {
        cluster.add("zone-" + std::to_string(1 + index % size.zones));
    }
    cluster.run(15s);
    const bool agreed = cluster
                            .runUntil(60s,
                                      [&] {
                                          return cluster.all([&](Node &node) {
                                              return node.fleet->digest() == cluster.fleet(0).digest();
                                          });
                                      })
                            .has_value();
    if (!agreed) {
        std::printf("  (the VMs did not agree at the start)\n");
    }
}

/** Time until all VMs that are up hold what `holds` asks for; at most 60 s. */
double untilAll(Cluster &cluster, const std::function<bool(Node &)> &holds)
{
    const auto taken = cluster.runUntil(
        60s, [&] { return cluster.all(holds); }, 1ms);
    return taken ? toSeconds(*taken) : 60.0;
}

bool holds(const Node &node, const ConfigFact &fact)
{
    return node.fleet->configVersion(fact.item.key) >= fact.item.version;
}

struct Totals {
    std::uint64_t bytes = 0;
    std::uint64_t messages = 0;
    std::uint64_t facts = 0;
};

Totals totals(Cluster &cluster)
{
    Totals sum;
    for (std::size_t index = 0; index < cluster.size(); ++index) {
        const Traffic &traffic = cluster.node(index).traffic;
        sum.bytes += traffic.sentBytes;
        sum.messages += traffic.sentMessages;
        sum.facts += traffic.receivedFacts;
    }
    return sum;
}

/** Times of several facts, in milliseconds. */
struct Times {
    std::vector<double> values;

    void add(double seconds)
    {
        values.push_back(seconds * 1000.0);
    }
    double median()
    {
        std::sort(values.begin(), values.end());
        return values[values.size() / 2];
    }
    double worst()
    {
        return *std::max_element(values.begin(), values.end());
    }
};

void quiet(Cluster &cluster)
{
    cluster.timing.shareInterval = 1h; // only what facts and probes cost
    cluster.timing.summaryInterval = 1h;
    cluster.measuresBytes = true;
}

/** One variant at one size: times of single facts, and copies and bytes that each fact costs a VM. */
void measureSpread(const Variant &variant, Size size, double loss)
{
    Cluster cluster(7);
    quiet(cluster);
    cluster.fanout = variant.fanout;
    build(cluster, size);
    cluster.faults.loss = loss;
    const std::uint64_t facts = size.nodes > 100 ? 10 : 30;
    const Totals before = totals(cluster);
    const Duration idleTime = 10s;
    cluster.run(idleTime);
    const Totals idle = totals(cluster);
    Times config;
    const Time start = cluster.now();
    for (std::uint64_t number = 1; number <= facts; ++number) {
        const ConfigFact fact = change(number, cluster.wall());
        const std::size_t origin = cluster.random().below(size.nodes);
        cluster.give(origin, ConfigAccepted { fact });
        config.add(untilAll(cluster, [&](Node &node) { return holds(node, fact); }));
    }
    const double seconds = toSeconds(cluster.now() - start);
    const Totals after = totals(cluster);
    const auto nodes = static_cast<double>(size.nodes);
    const double idleBytes = static_cast<double>(idle.bytes - before.bytes) / toSeconds(idleTime) * seconds;
    const double bytes =
        (static_cast<double>(after.bytes - idle.bytes) - idleBytes) / nodes / static_cast<double>(facts);
    const double copies = static_cast<double>(after.facts - idle.facts) / nodes / static_cast<double>(facts);
    std::printf("%-18s %5zu %5zu %5.0f%% %10.1f %10.1f %8.2f %10.0f\n",
                variant.name,
                size.nodes,
                size.zones,
                loss * 100,
                config.median(),
                config.worst(),
                copies,
                bytes);
}

void spread()
{
    std::printf("\nSpread of a configuration change: time to the last VM, cost of a fact for one VM\n");
    std::printf("%-18s %5s %5s %6s %10s %10s %8s %10s\n",
                "variant",
                "VMs",
                "zones",
                "loss",
                "median ms",
                "worst ms",
                "copies",
                "bytes");
    for (const Size size : { Size { 8, 1 }, Size { 8, 4 }, Size { 53, 1 }, Size { 370, 7 } }) {
        for (const double loss : { 0.0, 0.05, 0.2 }) {
            for (const Variant &variant : variants()) {
                measureSpread(variant, size, loss);
            }
        }
    }
}

/** Memory of this process, in bytes. */
double residentBytes()
{
    std::ifstream file("/proc/self/statm");
    std::uint64_t total = 0;
    std::uint64_t resident = 0;
    file >> total >> resident;
    return static_cast<double>(resident) * 4096.0;
}

/** What one VM spends on control at a size and rate. */
struct Spending {
    double sentBytes = 0; ///< per second
    double receivedBytes = 0;
    double messages = 0; ///< sent per second
    double core = 0; ///< part of a core
    double memory = 0; ///< bytes
};

/** Rates and sizes of the whole fleet. */
struct Load {
    std::size_t endpoints = 600;
    double changesPerDay = 2200;
    double replacementsPerDay = 280;
    double failuresPerDay = 6;
    std::size_t configItems = 1600;
    bool usage = true;
};

constexpr double secondsPerDay = 86'400;

/** Gives the events of a normal day at random times. */
class Day
{
public:
    Day(Cluster &cluster, const Load &load)
        : cluster_(cluster)
        , load_(load)
    {
    }

    void run(Duration duration)
    {
        for (Duration passed {}; passed < duration; passed += 1s) {
            if (cluster_.random().chance(load_.changesPerDay / secondsPerDay)) {
                cluster_.give(upVm(), ConfigAccepted { change(++changes_, cluster_.wall()) });
            }
            if (cluster_.random().chance(load_.replacementsPerDay / secondsPerDay)) {
                replace(true);
            }
            if (cluster_.random().chance(load_.failuresPerDay / secondsPerDay)) {
                replace(false);
            }
            for (std::size_t index = 0; load_.usage && index < cluster_.size(); ++index) {
                cluster_.give(index, usage());
            }
            readLog();
            cluster_.run(1s);
        }
    }

private:
    std::size_t upVm()
    {
        return cluster_.random().below(cluster_.size());
    }
    void replace(bool planned)
    {
        const std::size_t index = upVm();
        if (planned) {
            cluster_.give(index, MarkVmLeaving { cluster_.node(index).settings.vm });
            cluster_.give(index, Stopped {});
        }
        cluster_.kill(index);
        cluster_.start(index);
    }
    UsageMeasured usage()
    {
        UsageMeasured measured;
        for (int number = 0; number < 4; ++number) {
            measured.heaviest.push_back({ WorkspaceId("workspace-" + std::to_string(cluster_.random().below(12))),
                                          static_cast<std::uint32_t>(cluster_.random().below(5000)) });
        }
        return measured;
    }
    void readLog()
    {
        for (std::size_t index = 0; index < cluster_.size(); ++index) {
            if (cluster_.node(index).readsConfig) {
                cluster_.give(index, ConfigRead { LogOffset(2'000'000) });
            }
        }
    }

    Cluster &cluster_;
    Load load_;
    std::uint64_t changes_ = 100'000;
};

Spending measureControl(Size size, const Load &load, Duration duration)
{
    const double memoryBefore = residentBytes();
    Cluster cluster(11);
    for (std::size_t number = 0; number < load.endpoints; ++number) {
        cluster.endpoints.push_back({ EndpointId("runner-" + std::to_string(1000 + number)),
                                      PoolId("pool-" + std::to_string(number % 6)),
                                      AvailabilityZoneId("zone-" + std::to_string(1 + number % size.zones)),
                                      "10.100.0.1:8000",
                                      false,
                                      Incarnation(0x1234'5678'9abc'0000 + number) });
    }
    cluster.loadOf = [&cluster](const EndpointId &) {
        EndpointLoad load;
        load.incarnation = Incarnation(0x1234'5678'9abc'0000);
        load.slots = 64;
        load.running = static_cast<std::uint32_t>(cluster.random().below(64));
        load.queued = static_cast<std::uint32_t>(cluster.random().below(200));
        load.queuedTokens = static_cast<std::uint32_t>(cluster.random().below(90'000));
        load.cachePerMille = static_cast<std::uint32_t>(cluster.random().below(1000));
        load.age = 400ms;
        return load;
    };
    // The first VM has all items before the others start, and fetch them.
    cluster.add("zone-1");
    for (std::size_t number = 0; number < load.configItems; ++number) {
        cluster.give(0, ConfigAccepted { change(number, cluster.wall()) });
    }
    cluster.run(5s);
    build(cluster, size);
    Day(cluster, load).run(30s);
    const double memory = (residentBytes() - memoryBefore) / static_cast<double>(size.nodes);
    cluster.measuresBytes = true;
    const Totals before = totals(cluster);
    Day(cluster, load).run(duration);
    const Totals after = totals(cluster);
    cluster.measuresBytes = false;
    // Processor time is taken in a second run, without the estimate of sizes; the link's own work is included.
    const std::clock_t start = std::clock();
    Day(cluster, load).run(duration);
    const double processor = static_cast<double>(std::clock() - start) / CLOCKS_PER_SEC;
    const double nodeSeconds = static_cast<double>(size.nodes) * toSeconds(duration);
    Spending spending;
    spending.sentBytes = static_cast<double>(after.bytes - before.bytes) / nodeSeconds;
    spending.receivedBytes = spending.sentBytes;
    spending.messages = static_cast<double>(after.messages - before.messages) / nodeSeconds;
    spending.core = processor / nodeSeconds;
    spending.memory = memory;
    return spending;
}

void printSpending(const char *name, Size size, const Spending &spending)
{
    std::printf("%-34s %5zu %5zu %10.0f %10.0f %8.1f %9.3f%% %9.2f\n",
                name,
                size.nodes,
                size.zones,
                spending.sentBytes,
                spending.sentBytes + spending.receivedBytes,
                spending.messages,
                spending.core * 100,
                spending.memory / 1e6);
}

void printSpendingHead()
{
    std::printf("%-34s %5s %5s %10s %10s %8s %10s %9s\n",
                "load",
                "VMs",
                "zones",
                "sent B/s",
                "both B/s",
                "msg/s",
                "core",
                "MB");
}

void control()
{
    std::printf("\nControl at the rates of the letter: for one VM\n");
    printSpendingHead();
    printSpending("12 endpoints", { 8, 4 }, measureControl({ 8, 4 }, { 12, 10, 8, 1, 40 }, 60s));
    printSpending("86 endpoints", { 53, 1 }, measureControl({ 53, 1 }, { 86, 310, 40, 1, 1600 }, 60s));
    printSpending("600 endpoints", { 370, 7 }, measureControl({ 370, 7 }, {}, 30s));
}

void slopes()
{
    std::printf("\nSlopes: one quantity changed at a time\n");
    printSpendingHead();
    const auto show = [](const char *name, Size size, const Load &load) {
        printSpending(name, size, measureControl(size, load, 60s));
    };
    show("53 VMs, 0 endpoints", { 53, 1 }, { 0, 0, 0, 0, 0, false });
    show("106 VMs, 0 endpoints", { 106, 1 }, { 0, 0, 0, 0, 0, false });
    show("106 VMs in 2 zones, 0 endpoints", { 106, 2 }, { 0, 0, 0, 0, 0, false });
    show("53 VMs, 86 endpoints", { 53, 1 }, { 86, 0, 0, 0, 0, false });
    show("53 VMs, 172 endpoints", { 53, 1 }, { 172, 0, 0, 0, 0, false });
    show("53 VMs, heavy workspaces", { 53, 1 }, { 0, 0, 0, 0, 0, true });
    show("53 VMs, 22000 changes a day", { 53, 1 }, { 0, 22'000, 0, 0, 0, false });
    show("53 VMs, 2800 replacements a day", { 53, 1 }, { 0, 0, 2800, 0, 0, false });
    show("53 VMs, 16000 items", { 53, 1 }, { 0, 0, 0, 0, 16'000, false });
}

bool isLeaving(const Fleet &fleet, const VmId &vm)
{
    const auto view = fleet.view();
    const auto found = std::lower_bound(
        view->members.begin(), view->members.end(), vm, [](const MemberView &entry, const VmId &wanted) {
            return entry.member.vm < wanted;
        });
    return found != view->members.end() && found->member.vm == vm && found->leaving;
}

/** Times of each kind of fact to the last VM, in a fleet with a fault. */
void measureFacts(const char *name, Size size, const std::function<void(Cluster &)> &fault)
{
    Cluster cluster(13);
    quiet(cluster);
    build(cluster, size);
    fault(cluster);
    Times config;
    Times leaving;
    Times quarantine;
    for (std::uint64_t number = 1; number <= 10; ++number) {
        const std::size_t origin = cluster.random().below(size.nodes);
        const ConfigFact fact = change(number, cluster.wall());
        cluster.give(origin, ConfigAccepted { fact });
        config.add(untilAll(cluster, [&](Node &node) { return holds(node, fact); }));
        const VmId vm = cluster.node((origin + number) % size.nodes).settings.vm;
        cluster.give(origin, MarkVmLeaving { vm });
        leaving.add(untilAll(cluster, [&](Node &node) { return isLeaving(*node.fleet, vm); }));
        const Fingerprint fingerprint(number);
        for (std::uint64_t crash = 1; crash <= 2; ++crash) {
            const EndpointId endpoint("runner-" + std::to_string(crash));
            cluster.give(origin, EndpointCrashed { endpoint, PoolId("pool"), Incarnation(crash), { fingerprint } });
        }
        quarantine.add(untilAll(
            cluster, [&](Node &node) { return node.fleet->suspicion(fingerprint) == SuspicionState::Quarantined; }));
    }
    std::printf("%-34s %5zu %9.1f %9.1f %9.1f %9.1f %9.1f %9.1f\n",
                name,
                size.nodes,
                config.median(),
                config.worst(),
                leaving.median(),
                leaving.worst(),
                quarantine.median(),
                quarantine.worst());
}

/** A zone whose readers die: time until the others read, and until a change is known to all. */
void measureReadersDead()
{
    constexpr std::size_t nodes = 370;
    Cluster cluster(17);
    quiet(cluster);
    build(cluster, { nodes, 7 });
    const auto read = [&] {
        for (std::size_t index = 0; index < nodes; ++index) {
            if (cluster.isUp(index) && cluster.node(index).readsConfig) {
                cluster.give(index, ConfigRead { LogOffset(1) });
            }
        }
    };
    for (int second = 0; second < 30; ++second) {
        read();
        cluster.run(1s);
    }
    // The zone is cut off from all others, so that only its own readers can bring the change.
    for (int zone = 2; zone <= 7; ++zone) {
        cluster.cut("zone-1", "zone-" + std::to_string(zone));
    }
    const auto inZone = [&](std::size_t index) { return cluster.isUp(index) && index % 7 == 0; };
    for (std::size_t index = 0; index < nodes; ++index) {
        if (inZone(index) && cluster.node(index).readsConfig) {
            cluster.kill(index);
        }
    }
    const ConfigFact fact = change(1, cluster.wall());
    Duration taken {};
    const auto known = [&] {
        for (std::size_t index = 0; index < nodes; ++index) {
            if (inZone(index) && !holds(cluster.node(index), fact)) {
                return false;
            }
        }
        return true;
    };
    while (!known() && taken < 60s) {
        for (std::size_t index = 0; index < nodes; ++index) {
            if (inZone(index) && cluster.node(index).readsConfig) {
                cluster.give(index, ConfigAccepted { fact });
            }
        }
        cluster.run(100ms);
        taken += 100ms;
    }
    std::printf("a zone cut off, its readers dead: change known in the zone after %.1f s\n", toSeconds(taken));
}

void faults()
{
    std::printf("\nTime to the last VM with faults, in ms (the product's way)\n");
    std::printf("%-34s %5s %9s %9s %9s %9s %9s %9s\n",
                "fault",
                "VMs",
                "config",
                "worst",
                "leaving",
                "worst",
                "quarant.",
                "worst");
    const Size large { 370, 7 };
    for (const Size size : { Size { 8, 4 }, Size { 53, 1 }, large }) {
        measureFacts("none", size, [](Cluster &) {});
    }
    for (const double loss : { 0.05, 0.2 }) {
        measureFacts(
            loss < 0.1 ? "5% loss" : "20% loss", large, [loss](Cluster &cluster) { cluster.faults.loss = loss; });
    }
    measureFacts("one VM 400 ms slow", large, [](Cluster &cluster) { cluster.node(3).slowness = 400ms; });
    measureFacts("two pairs of zones cut", large, [](Cluster &cluster) {
        cluster.cut("zone-1", "zone-2");
        cluster.cut("zone-1", "zone-3");
    });
    measureReadersDead();
}

} // namespace

int main(int argc, char **argv)
{
    std::setvbuf(stdout, nullptr, _IOLBF, 0);
    std::vector<std::string> wanted(argv + 1, argv + argc);
    const auto runs = [&](const char *name) {
        return wanted.empty() || std::find(wanted.begin(), wanted.end(), name) != wanted.end();
    };
    if (runs("spread")) {
        spread();
    }
    if (runs("faults")) {
        faults();
    }
    if (runs("control")) {
        control();
    }
    if (runs("slopes")) {
        slopes();
    }
    return 0;
}
