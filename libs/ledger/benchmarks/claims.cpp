#include "../tests/claims_fleet.h"

#include <algorithm>
#include <cstdio>
#include <malloc.h>

/**
 * Claims at the size of the letter: appends, latency and bytes in virtual time for a fleet of 7 zones with 53 VMs each,
 * and processor time and memory of one claim on the VM that writes it.
 */
namespace
{

using namespace lacewing;
using namespace lacewing::testing;

constexpr std::size_t zones = 7;
constexpr std::size_t vmsPerZone = 53;
constexpr Duration warmUp = 3s;
constexpr Duration measured = 4s;

double milliseconds(Duration duration)
{
    return double(duration.count()) / 1'000;
}

void runFleet(double claimsPerSecond, double appendsPerSecond)
{
    Simulation simulation(1);
    FakeLog log(simulation);
    log.maxRecordsPerRead = 1'000;
    ledger::ClaimsOptions options;
    options.appendsPerSecond = appendsPerSecond;
    ClaimsFleet fleet(simulation, log, zones * vmsPerZone, zones, options);
    simulation.runUntil(Time(warmUp));

    const std::uint64_t appends = log.appends;
    const std::uint64_t reads = log.reads;
    const std::uint64_t bytes = log.bytesRead;
    const auto count = std::size_t(claimsPerSecond * toSeconds(measured));
    for (std::size_t i = 0; i < count; ++i) {
        simulation.after(simulation.between(0ms, measured), [&, i] {
            fleet.want(simulation.random.below(fleet.size()), std::to_string(i), simulation.wallNow(), 10s);
        });
    }
    simulation.runUntil(Time(warmUp + measured));
    const double seconds = toSeconds(measured);
    const double appendRate = double(log.appends - appends) / seconds;
    const double readRate = double(log.reads - reads) / seconds;
    const double readBytes = double(log.bytesRead - bytes) / seconds / double(fleet.size());
    simulation.runUntil(Time(warmUp + measured + 3s));

    auto &latencies = fleet.latencies;
    std::sort(latencies.begin(), latencies.end());
    const auto at = [&](double share) {
        return milliseconds(latencies[std::size_t(share * double(latencies.size() - 1))]);
    };
    std::printf("%8.0f %8.0f %9.0f %8.1f %8.1f %8.1f %8.0f %10.0f %7zu/%zu\n",
                claimsPerSecond,
                appendsPerSecond,
                milliseconds(fleet.vm(0).claims->batchInterval()),
                appendRate,
                at(0.5),
                at(0.99),
                readRate,
                readBytes,
                latencies.size(),
                count);
}

/** One VM that is its zone's only writer, over a log that answers at once. */
class LoneWriter
{
public:
    LoneWriter()
        : simulation_(1)
        , log_(simulation_)
        , claims_({ VmId("vm"), Incarnation(1), AvailabilityZoneId("z") })
    {
        log_.maxRecordsPerRead = 1'000;
    }

    void claim(std::uint64_t number)
    {
        const ledger::ClaimWanted wanted {
            { Incarnation(1), number }, WorkspaceId("w"), IdempotencyKey("key-" + std::to_string(number)), WallTime(1h),
            Fingerprint(number),        Time(1h)
        };
        carryOut(claims_.handle(wanted, now_, WallTime(1h)));
        claims_.handle(ledger::JobEnded { wanted.job }, now_, WallTime(1h));
    }
    void advance(Duration by)
    {
        now_ += by;
        carryOut(claims_.tick(now_, WallTime(1h)));
    }
    std::size_t settled = 0;
    std::size_t remembered() const
    {
        return claims_.stats().remembered;
    }

private:
    void carryOut(const ledger::Claims::Effects &effects)
    {
        for (const ledger::ClaimsEffect &effect : effects) {
            if (const auto *request = std::get_if<log::Request>(&effect)) {
                carryOut(claims_.handle(answer(*request), now_, WallTime(1h)));
            } else if (const auto *done = std::get_if<ledger::ClaimSettled>(&effect)) {
                ++settled;
                claims_.handle(ledger::JobEnded { done->job }, now_, WallTime(1h));
            }
        }
    }
    log::Answer answer(const log::Request &request)
    {
        if (const auto *read = std::get_if<log::Read>(&request)) {
            log::ReadAnswer answer {
                read->tag, read->stream, true, LogOffset(1), LogOffset(ends_[read->stream] + 1), {}
            };
            answer.records = std::exchange(records_[read->stream], {});
            return answer;
        }
        const auto &append = std::get<log::Append>(request);
        log::AppendAnswer answer { append.tag, append.stream, log::AppendOutcome::Done, {} };
        for (const std::string &data : append.records) {
            const LogOffset offset(++ends_[append.stream]);
            records_[append.stream].push_back({ offset, data, WallTime(1h) });
            answer.offsets.push_back(offset);
        }
        return answer;
    }

    Simulation simulation_;
    FakeLog log_;
    ledger::Claims claims_;
    Time now_ { 1s };
    std::map<log::StreamId, std::uint64_t> ends_;
    std::map<log::StreamId, std::vector<log::Record>> records_;
};

void runLoneWriter()
{
    constexpr std::uint64_t count = 200'000;
    constexpr std::uint64_t perStep = 200;
    LoneWriter writer;
    const std::size_t before = mallinfo2().uordblks;
    const auto start = std::chrono::steady_clock::now();
    for (std::uint64_t i = 1; i <= count; ++i) {
        writer.claim(i);
        if (i % perStep == 0) {
            writer.advance(100ms);
        }
    }
    for (int i = 0; i < 50; ++i) {
        writer.advance(1s);
    }
    const std::chrono::duration<double, std::micro> took = std::chrono::steady_clock::now() - start;
    const std::size_t after = mallinfo2().uordblks;
    std::printf("one writer: %zu of %lu claims settled, %.2f us of processor time and %.0f bytes kept per claim\n",
                writer.settled,
                count,
                took.count() / double(count),
                double(after - before) / double(writer.remembered()));
}

} // namespace

int main()
{
    runLoneWriter();
    std::printf("fleet of %zu zones with %zu VMs, %u partitions, %zu writers\n",
                zones,
                vmsPerZone,
                ledger::claimPartitions,
                zones * std::size_t(ledger::claimPartitions));
    std::printf("%8s %8s %9s %8s %8s %8s %8s %10s %9s\n",
                "claims/s",
                "budget/s",
                "batch ms",
                "appends",
                "p50 ms",
                "p99 ms",
                "reads/s",
                "B/s/node",
                "settled");
    for (const double claims : { 100.0, 460.0, 920.0 }) {
        for (const double budget : { 125.0, 250.0, 500.0 }) {
            runFleet(claims, budget);
        }
    }
    return 0;
}
