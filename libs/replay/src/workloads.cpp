#include <replay/replay.h>

#include "fake_endpoint.h"

#include <algorithm>
#include <cmath>

namespace lacewing::replay
{

namespace
{

using config::StageKind;

/** Jobs sampled to find the mean slot time of a mix. */
constexpr int sampledJobs = 4000;
constexpr std::uint64_t sampleSeed = 77;

PoolModel pool(const char *name, StageKind kind, std::uint32_t endpoints, std::uint32_t slots, double baseSeconds)
{
    PoolModel model;
    model.spec.id = PoolId(name);
    model.spec.kind = kind;
    model.spec.costPerSecond = Cost(50);
    model.endpoints = endpoints;
    model.slots = slots;
    model.baseSeconds = baseSeconds;
    model.sigma = 0.2;
    return model;
}

PoolModel runners(std::uint32_t endpoints, std::uint32_t slots, std::uint32_t cachedPrefixes)
{
    auto model = pool("runners", StageKind::Generate, endpoints, slots, 0.03);
    model.spec.costPerSecond = Cost(1000);
    model.spec.resumable = true;
    model.secondsPerInput = 0.0001;
    model.secondsPerOutput = 0.02;
    model.sigma = 0.05;
    model.cachedPrefixes = cachedPrefixes;
    return model;
}

config::StageSpec stage(const char *name, StageKind kind, const char *poolName, bool repeatable = true)
{
    return { name, kind, PoolId(poolName), ModelId(), repeatable };
}

const config::StageSpec encode = stage("encode", StageKind::Encode, "encoders");
const config::StageSpec retrieve = stage("retrieve", StageKind::Retrieve, "retrievers");
const config::StageSpec rerank = stage("rerank", StageKind::Rerank, "rerankers");
const config::StageSpec generate = stage("generate", StageKind::Generate, "runners");

/** Adds a class with a pipeline of its own. */
void addClass(config::FleetConfig &fleet,
              const std::string &name,
              std::vector<config::StageSpec> stages,
              Duration completion)
{
    config::PipelineSpec pipeline { PipelineId(name), std::move(stages) };
    config::ClassSpec spec;
    spec.id = ClassId(name);
    spec.pipeline = pipeline.id;
    spec.completion = completion;
    spec.cost = Cost(20'000);
    fleet.pipelines.emplace(pipeline.id, pipeline);
    fleet.classes.emplace(spec.id, spec);
}

void finish(Workload &workload, config::FleetConfig fleet)
{
    for (const auto &model : workload.pools) {
        fleet.pools.emplace(model.spec.id, model.spec);
    }
    for (std::size_t index = 0; index < workload.workspaces.size(); ++index) {
        const WorkspaceId id("w" + std::to_string(index));
        fleet.workspaces.emplace(id, config::WorkspaceSpec { id, {} });
    }
    workload.configuration = std::make_shared<const config::FleetConfig>(std::move(fleet));
}

Workload tana()
{
    Workload workload;
    workload.name = "tana";
    for (const char *zone : { "tana-a", "tana-b", "tana-c", "tana-d" }) {
        workload.zones.emplace_back(zone);
    }
    workload.vms = 8;
    workload.zoneDelay = 1ms;
    workload.pools = { runners(12, 8, 40),
                       pool("encoders", StageKind::Encode, 4, 4, 0.06),
                       pool("retrievers", StageKind::Retrieve, 4, 4, 0.04),
                       pool("rerankers", StageKind::Rerank, 4, 4, 0.08),
                       pool("accounts", StageKind::Service, 4, 8, 0.05),
                       pool("dispatch", StageKind::Service, 5, 8, 0.05) };
    workload.workspaces = { 0.4, 0.3, 0.15, 0.1, 0.05 };
    workload.mix = { { ClassId("summary"), 0.25, 5000, 0.3, 280, 0.2, 400, 30, 0.7, true },
                     { ClassId("billing"), 0.35, 900, 0.3, 110, 0.25, 200, 4, 0.5, true },
                     { ClassId("chat"), 0.3, 2000, 0.4, 70, 0.3, 150, 20, 0.8, true },
                     { ClassId("topup"), 0.1, 50, 0.1, 0, 0, 0, 0, 0, false } };
    config::FleetConfig fleet;
    addClass(fleet, "summary", { encode, retrieve, rerank, generate }, 20s);
    addClass(fleet, "billing", { stage("account", StageKind::Service, "accounts"), retrieve, generate }, 8s);
    addClass(fleet, "chat", { retrieve, generate }, 6s);
    addClass(fleet, "topup", { stage("topup", StageKind::Service, "accounts", false) }, 2s);
    finish(workload, std::move(fleet));
    return workload;
}

Workload magnolia()
{
    Workload workload;
    workload.name = "magnolia";
    for (const char *zone : { "magnolia-a", "magnolia-b", "magnolia-c" }) {
        workload.zones.emplace_back(zone);
    }
    workload.vms = 8;
    workload.zoneDelay = 1500us;
    workload.pools = { runners(10, 8, 24),
                       pool("encoders", StageKind::Encode, 3, 4, 0.2),
                       pool("retrievers", StageKind::Retrieve, 3, 4, 0.06),
                       pool("rerankers", StageKind::Rerank, 3, 4, 0.12),
                       pool("booking", StageKind::Service, 3, 8, 0.08),
                       pool("invoicing", StageKind::Service, 5, 8, 0.05) };
    workload.workspaces = { 0.35, 0.3, 0.2, 0.1, 0.05 };
    workload.mix = { { ClassId("draft"), 0.2, 30'000, 0.3, 450, 0.2, 700, 10, 0.8, true },
                     { ClassId("rules"), 0.3, 12'000, 0.3, 160, 0.25, 300, 6, 0.9, true },
                     { ClassId("notes"), 0.3, 2500, 0.3, 120, 0.25, 250, 10, 0.5, true },
                     { ClassId("book"), 0.2, 50, 0.1, 0, 0, 0, 0, 0, false } };
    config::FleetConfig fleet;
    addClass(fleet, "draft", { encode, retrieve, rerank, generate }, 45s);
    addClass(fleet, "rules", { retrieve, rerank, generate }, 15s);
    addClass(fleet, "notes", { retrieve, generate }, 10s);
    addClass(fleet, "book", { stage("book", StageKind::Service, "booking", false) }, 2s);
    finish(workload, std::move(fleet));
    return workload;
}

/** Pipeline of the index-th class of the zone workload: three to six stages. */
std::vector<config::StageSpec> zoneStages(std::uint32_t index)
{
    auto look = stage("look-up", StageKind::Service, "services");
    auto check = stage("check", StageKind::Service, "services");
    switch (index % 4) {
    case 0:
        return { encode, retrieve, generate };
    case 1:
        return { encode, retrieve, rerank, generate };
    case 2:
        return { look, encode, retrieve, rerank, generate };
    default:
        return { look, encode, retrieve, rerank, generate, check };
    }
}

/** One zone's share of the fleet that the design is sized for: 1/7 of 370 nodes, 600 runners and 4,600 requests/s. */
Workload zone()
{
    constexpr std::uint32_t pipelines = 30;
    constexpr std::uint32_t workspaces = 1500;
    Workload workload;
    workload.name = "zone";
    workload.zones.emplace_back("zone-a");
    workload.vms = 53;
    workload.pools = { runners(86, 57, 400),
                       pool("encoders", StageKind::Encode, 16, 8, 0.05),
                       pool("retrievers", StageKind::Retrieve, 16, 8, 0.04),
                       pool("rerankers", StageKind::Rerank, 16, 10, 0.06),
                       pool("services", StageKind::Service, 12, 16, 0.04) };
    for (std::uint32_t index = 0; index < workspaces; ++index) {
        workload.workspaces.push_back(1 / std::pow(double(index + 1), 0.9));
    }
    config::FleetConfig fleet;
    for (std::uint32_t index = 0; index < pipelines; ++index) {
        const auto name = "p" + std::to_string(index);
        addClass(fleet, name, zoneStages(index), 11s);
        const double output = 240 + 6.0 * double(index % 15);
        workload.mix.push_back({ ClassId(name), 1, 1500, 0.4, output, 0.15, output * 1.6, 2, 0.6, true });
    }
    finish(workload, std::move(fleet));
    return workload;
}

} // namespace

Result<Workload> makeWorkload(std::string_view name)
{
    if (name == "tana") {
        return tana();
    }
    if (name == "magnolia") {
        return magnolia();
    }
    if (name == "zone") {
        return zone();
    }
    return failure(ErrorKind::NotFound, "no workload " + std::string(name));
}

double jobsPerSecond(const Workload &workload)
{
    Random random(sampleSeed);
    double weights = 0;
    std::map<PoolId, double> seconds;
    for (const auto &mix : workload.mix) {
        weights += mix.weight;
        const auto &spec = workload.configuration->classes.at(mix.classId);
        for (const auto &stageSpec : workload.configuration->pipelines.at(spec.pipeline).stages) {
            const auto model = std::find_if(workload.pools.begin(), workload.pools.end(), [&](const PoolModel &one) {
                return one.spec.id == stageSpec.pool;
            });
            double sum = 0;
            for (int sample = 0; sample < sampledJobs; ++sample) {
                const Tokens input(std::uint64_t(random.logNormal(mix.inputMedian, mix.inputSigma)));
                const double output = mix.outputMedian > 0 ? random.logNormal(mix.outputMedian, mix.outputSigma) : 0;
                const Tokens tokens(std::uint64_t(std::min(output, mix.outputLimit)));
                sum += slotSeconds(*model, input, Tokens(0), tokens) * random.logNormal(1, model->sigma);
            }
            seconds[stageSpec.pool] += mix.weight * sum / sampledJobs;
        }
    }
    double lowest = 1e9;
    for (const auto &model : workload.pools) {
        if (seconds[model.spec.id] > 0) {
            lowest = std::min(lowest, weights * model.endpoints * model.slots / seconds[model.spec.id]);
        }
    }
    return lowest;
}

} // namespace lacewing::replay
