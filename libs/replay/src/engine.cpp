#include "engine.h"

#include <algorithm>

namespace lacewing::replay
{

namespace
{

constexpr Duration localDelay = 300us; ///< one way within a zone
constexpr Duration reportPeriod = 500ms;
constexpr Duration hintPeriod = 500ms;
constexpr Duration hintDelay = 200ms;
constexpr Duration cacheEventDelay = 1s;
constexpr double lostCacheEvents = 0.1;
constexpr Duration hedgePeriod = 100ms;
constexpr Duration membershipLag = 5s; ///< until the VMs hear of lost endpoints
constexpr std::uint64_t noiseSeed = 991;

} // namespace

Engine::Engine(const Scenario &scenario, const std::vector<TraceRecord> &trace, const ReplayOptions &options)
    : scenario_(scenario)
    , trace_(trace)
    , options_(options)
    , random_(options.seed * 7919 + noiseSeed)
{
    double least = 1e18;
    const double jobs = jobsPerSecond(scenario.workload);
    for (const auto &model : scenario.workload.pools) {
        // The slowest pool is the one whose use of slots at full load leaves the fewest free.
        const double slots = double(model.endpoints) * model.slots;
        if (model.secondsPerOutput > 0 && slots / jobs < least) {
            least = slots / jobs;
            bottleneck_ = model.spec.id;
        }
    }
}

void Engine::schedule(Time at, std::function<void(Time)> work)
{
    timers_.once(at, std::move(work));
}

void Engine::every(Duration period, const std::function<void(Time)> &work)
{
    schedule(now_ + period, [this, period, work](Time now) {
        work(now);
        if (!isOver_) {
            every(period, work);
        }
    });
}

void Engine::makeNodes()
{
    std::uint64_t incarnation = 1000;
    for (const auto &model : scenario_.workload.pools) {
        for (std::uint32_t index = 0; index < model.endpoints; ++index) {
            ReplayNode node;
            node.model = &model;
            node.info.id = EndpointId(model.spec.id.text() + "-" + std::to_string(index));
            node.info.pool = model.spec.id;
            node.info.zone = scenario_.workload.zones[index % scenario_.workload.zones.size()];
            node.info.incarnation = Incarnation(++incarnation);
            node.info.slots = model.slots;
            node.process = std::make_unique<FakeEndpoint>(model);
            nodeById_.emplace(node.info.id, nodes_.size());
            nodes_.push_back(std::move(node));
        }
    }
}

std::unique_ptr<policy::Policy> Engine::makePolicy(const ReplayVm &vm)
{
    policy::Options options;
    options.zone = vm.zone;
    options.seed = options_.seed * 1000 + vm.incarnation.value();
    options.strategy = options_.strategy;
    auto result = std::make_unique<policy::Policy>(options);
    result->setConfig(scenario_.workload.configuration);
    return result;
}

void Engine::makeVms()
{
    for (std::uint32_t index = 0; index < scenario_.workload.vms; ++index) {
        ReplayVm vm;
        vm.id = VmId("vm-" + std::to_string(index));
        vm.zone = scenario_.workload.zones[index % scenario_.workload.zones.size()];
        vm.incarnation = Incarnation(index + 1);
        vm.policy = makePolicy(vm);
        vms_.push_back(std::move(vm));
    }
}

bool Engine::canTalk(const AvailabilityZoneId &from, const AvailabilityZoneId &to) const
{
    return from == to || !cut_ || (from != *cut_ && to != *cut_);
}

void Engine::publishMembership(Duration lag)
{
    std::vector<policy::EndpointInfo> infos;
    for (const auto &node : nodes_) {
        if (node.alive) {
            infos.push_back(node.info);
        }
    }
    schedule(now_ + lag, [this, infos](Time) {
        for (auto &vm : vms_) {
            vm.policy->setEndpoints(infos);
        }
        for (auto &policy : retired_) {
            policy->setEndpoints(infos);
        }
    });
}

void Engine::reportLoads(Time now)
{
    for (auto &node : nodes_) {
        if (!node.alive) {
            continue;
        }
        policy::EndpointLoad load;
        load.endpoint = node.info.id;
        load.incarnation = node.info.incarnation;
        load.measuredAt = now;
        load.running = node.process->running();
        load.waiting = node.process->waiting();
        load.slots = node.info.slots;
        const auto zone = node.info.zone;
        schedule(now + scenario_.reportDelay, [this, load, zone](Time) {
            for (auto &vm : vms_) {
                if (vm.alive && canTalk(zone, vm.zone)) {
                    vm.policy->onLoadReport(load);
                }
            }
        });
        for (const auto &change : node.process->takeCacheChanges()) {
            if (random_.chance(lostCacheEvents)) {
                continue;
            }
            policy::CacheEvent event { load.endpoint,
                                       load.incarnation,
                                       0,
                                       change.prefix,
                                       change.stored ? policy::CacheEvent::Kind::Stored
                                                     : policy::CacheEvent::Kind::Evicted };
            schedule(now + cacheEventDelay, [this, event, zone](Time later) {
                for (auto &vm : vms_) {
                    if (vm.alive && canTalk(zone, vm.zone)) {
                        vm.policy->onCacheEvent(event, later);
                    }
                }
            });
        }
    }
}

/** Each VM hears the sum of what the others that it can reach told. */
void Engine::exchangeHints(Time now)
{
    for (auto &vm : vms_) {
        avoided_ += double(vm.policy->ejectedEndpoints(now).size()) / double(nodes_.size());
        avoidedSamples_ += 1;
        vm.hint = vm.alive ? vm.policy->localHint(now) : policy::DemandHint {};
    }
    for (std::size_t receiver = 0; receiver < vms_.size(); ++receiver) {
        if (!vms_[receiver].alive) {
            continue;
        }
        std::map<PoolId, policy::PoolDemand> arrivals;
        std::map<WorkspaceId, double> heavy;
        policy::DemandHint sum;
        for (std::size_t sender = 0; sender < vms_.size(); ++sender) {
            const bool isHeard = vms_[sender].alive && canTalk(vms_[sender].zone, vms_[receiver].zone);
            if (sender == receiver || !isHeard) {
                continue;
            }
            sum.policyCount += vms_[sender].hint.policyCount;
            for (const auto &one : vms_[sender].hint.pools) {
                auto &total = arrivals[one.pool];
                total.pool = one.pool;
                total.offeredLoad += one.offeredLoad;
                total.inFlight += one.inFlight;
                total.pending += one.pending;
            }
            for (const auto &one : vms_[sender].hint.heavyWorkspaces) {
                heavy[one.workspace] += one.dominantShare;
            }
        }
        for (const auto &[pool, total] : arrivals) {
            sum.pools.push_back(total);
        }
        for (const auto &[workspace, share] : heavy) {
            sum.heavyWorkspaces.push_back({ workspace, share });
        }
        schedule(now + hintDelay,
                 [this, receiver, sum](Time later) { vms_[receiver].policy->onDemandHint(sum, later); });
    }
}

void Engine::hedgeLate(Time now)
{
    std::vector<CallNumber> numbers;
    for (const auto &[number, call] : calls_) {
        numbers.push_back(number);
    }
    std::sort(numbers.begin(), numbers.end());
    for (const auto number : numbers) {
        const auto call = calls_.find(number);
        if (call == calls_.end() || !call->second.delivered) {
            continue;
        }
        const auto job = call->second.job;
        if (const auto placed = jobs_.at(job).policy->tryHedge(call->second.id, now)) {
            ++report_.hedges;
            dispatch(job, *placed, now);
        }
    }
}

void Engine::startFault(const SlowPool &fault)
{
    const auto set = [this, pool = fault.pool](double factor) {
        for (auto &node : nodes_) {
            if (node.info.pool == pool) {
                node.process->setSlowness(factor);
            }
        }
    };
    schedule(Time(fault.from), [set, factor = fault.factor](Time) { set(factor); });
    schedule(Time(fault.to), [set](Time) { set(1); });
}

void Engine::startFault(const CutZone &fault)
{
    schedule(Time(fault.from), [this, zone = fault.zone](Time) { cut_ = zone; });
    schedule(Time(fault.to), [this](Time) { cut_.reset(); });
}

void Engine::startFault(const RestartVms &fault)
{
    const auto step = (fault.to - fault.from) / std::int64_t(vms_.size());
    for (std::size_t index = 0; index < vms_.size(); ++index) {
        schedule(Time(fault.from + step * std::int64_t(index)), [this, index](Time) { restartVm(index); });
    }
}

void Engine::restartVm(std::size_t index)
{
    constexpr std::uint64_t incarnationStep = 500;
    auto &vm = vms_[index];
    retired_.push_back(std::move(vm.policy));
    vm.incarnation = Incarnation(vm.incarnation.value() + incarnationStep);
    vm.jobs = 0;
    vm.policy = makePolicy(vm);
    std::vector<policy::EndpointInfo> infos;
    for (const auto &node : nodes_) {
        infos.push_back(node.info);
    }
    vm.policy->setEndpoints(infos);
    vm.policy->tick(now_);
}

void Engine::startFault(const LoseZone &fault)
{
    schedule(Time(fault.from), [this, zone = fault.zone](Time now) {
        for (std::size_t index = 0; index < vms_.size(); ++index) {
            vms_[index].alive = vms_[index].alive && vms_[index].zone != zone;
        }
        std::vector<std::size_t> lost;
        for (const auto &[index, job] : jobs_) {
            if (vms_[job.vm].zone == zone) {
                lost.push_back(index);
            }
        }
        std::sort(lost.begin(), lost.end());
        for (const auto index : lost) {
            endJob(index, policy::JobOutcome::Failed, &Counts::failed, now);
        }
        for (std::size_t index = 0; index < nodes_.size(); ++index) {
            if (nodes_[index].info.zone == zone) {
                nodes_[index].alive = false;
                if (nodes_[index].info.pool == bottleneck_) {
                    const auto from = std::max(now, Time(scenario_.warmUp));
                    capacityLost_ += nodes_[index].info.slots * toSeconds(Time(scenario_.duration) - from);
                }
                crash(index, {}, now);
            }
        }
        publishMembership(membershipLag);
    });
}

Report Engine::run()
{
    makeNodes();
    makeVms();
    publishMembership(Duration(0));
    for (const auto &fault : scenario_.faults) {
        std::visit([this](const auto &one) { startFault(one); }, fault);
    }
    every(reportPeriod, [this](Time now) { reportLoads(now); });
    every(hintPeriod, [this](Time now) { exchangeHints(now); });
    every(hedgePeriod, [this](Time now) { hedgeLate(now); });
    every(50ms, [this](Time now) {
        for (auto &vm : vms_) {
            vm.policy->tick(now);
        }
    });
    schedule(Time(Duration(0)), [this](Time now) {
        for (auto &vm : vms_) {
            vm.policy->tick(now);
        }
    });
    Duration last = scenario_.duration;
    for (std::size_t index = 0; index < trace_.size(); ++index) {
        schedule(Time(trace_[index].at), [this, index](Time now) { arrive(index, now); });
        last = std::max(last, trace_[index].at + trace_[index].deadline);
    }
    schedule(Time(last) + 1s, [this](Time) { isOver_ = true; });
    while (const auto due = timers_.nextDue()) {
        now_ = *due;
        timers_.advance(now_);
    }
    Report report = report_;
    summarise(report);
    return report;
}

Duration Engine::delay(const ReplayJob &job, const ReplayNode &node) const
{
    return vms_[job.vm].zone == node.info.zone ? localDelay : scenario_.workload.zoneDelay;
}

} // namespace lacewing::replay
