#include <policy/policy.h>

#include <chrono>
#include <cmath>
#include <cstdio>

/**
 * Measures the time of one decision (admission and placement of a one-stage job) with 10, 60 and 600 endpoints. All
 * sizes run in one process, so that their ratio is comparable between machines.
 */
using namespace lacewing;

namespace
{

constexpr int warmUpJobs = 5'000;
constexpr int timedJobs = 100'000;
constexpr std::uint32_t slots = 64;

std::shared_ptr<const config::FleetConfig> makeConfig()
{
    config::FleetConfig fleet;
    const config::PoolSpec pool { PoolId("runners"), config::StageKind::Generate };
    const config::StageSpec stage { "generate", config::StageKind::Generate, pool.id, ModelId(), true };
    const config::PipelineSpec pipeline { PipelineId("p"), { stage } };
    config::ClassSpec spec;
    spec.id = ClassId("c");
    spec.pipeline = pipeline.id;
    spec.completion = 11s;
    spec.cost = Cost(10'000);
    fleet.pools.emplace(pool.id, pool);
    fleet.pipelines.emplace(pipeline.id, pipeline);
    fleet.classes.emplace(spec.id, spec);
    return std::make_shared<const config::FleetConfig>(std::move(fleet));
}

std::vector<policy::EndpointInfo> makeEndpoints(std::uint32_t count)
{
    std::vector<policy::EndpointInfo> endpoints;
    for (std::uint32_t index = 0; index < count; ++index) {
        policy::EndpointInfo info;
        info.id = EndpointId("e" + std::to_string(index));
        info.pool = PoolId("runners");
        info.zone = AvailabilityZoneId(index % 2 == 0 ? "a" : "b");
        info.incarnation = Incarnation(1);
        info.slots = slots;
        endpoints.push_back(info);
    }
    return endpoints;
}

/** Runs jobs one after another. @return microseconds per job, for admission and placement only */
double runJobs(policy::Policy &policy, int jobs, Time &now, std::uint64_t &sequence)
{
    using Stopwatch = std::chrono::steady_clock;
    Stopwatch::duration elapsed {};
    for (int index = 0; index < jobs; ++index) {
        now += 200us;
        if (now >= policy.nextWake()) {
            policy.tick(now);
        }
        policy::JobInfo job { JobId { Incarnation(1), ++sequence }, WorkspaceId("w" + std::to_string(sequence % 50)) };
        job.classId = ClassId("c");
        job.input = Tokens(1000);
        job.maxOutput = Tokens(400);
        job.prefixes = { policy::PrefixHash(1 + sequence % 300) };
        job.arrival = now;
        job.deadline = now + 11s;
        const CallId call { job.id, StageIndex(0), Attempt(1) };
        const auto start = Stopwatch::now();
        const auto admission = policy.admit(job, now);
        const auto placement = policy.place({ call, false, {} }, now);
        elapsed += Stopwatch::now() - start;
        const auto *placed = std::get_if<policy::Placed>(&placement);
        if (std::holds_alternative<policy::Admitted>(admission) && placed != nullptr) {
            policy.onCallStarted(call, placed->endpoint, now);
            policy::CallOutcome outcome;
            outcome.ok = true;
            outcome.serviceTime = 2s;
            policy.onCallEnded(call, outcome, now);
            policy.onJobEnded(job.id, policy::JobOutcome::Met, Cost(100), now);
        }
    }
    return std::chrono::duration<double, std::micro>(elapsed).count() / jobs;
}

} // namespace

int main()
{
    const auto configuration = makeConfig();
    double baseline = 0;
    for (const std::uint32_t count : { 10U, 60U, 600U }) {
        policy::Options options;
        options.zone = AvailabilityZoneId("a");
        policy::Policy policy(options);
        policy.setConfig(configuration);
        policy.setEndpoints(makeEndpoints(count));
        Time now { Duration(1) };
        std::uint64_t sequence = 0;
        runJobs(policy, warmUpJobs, now, sequence);
        const double microseconds = runJobs(policy, timedJobs, now, sequence);
        baseline = baseline == 0 ? microseconds : baseline;
        std::printf("decision (admit and place) at %u endpoints: %.2f us, %.2f times that at 10\n",
                    count,
                    microseconds,
                    microseconds / baseline);
    }
    return 0;
}
