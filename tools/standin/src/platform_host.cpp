#include "platform_host.h"

#include <algorithm>
#include <charconv>

#include <nlohmann/json.hpp>

namespace lacewing::standin
{
namespace
{

using Json = nlohmann::json;

constexpr std::string_view platformZone = "platform";
constexpr Duration expiryPeriod = std::chrono::milliseconds(50);
constexpr Duration maxWait = std::chrono::seconds(60);
constexpr std::size_t maxWaiting = 10'000;

std::uint64_t numberIn(const net::HttpRequest &request, std::string_view name, std::uint64_t otherwise)
{
    const auto text = request.query(name);
    std::uint64_t value = otherwise;
    if (text) {
        std::from_chars(text->data(), text->data() + text->size(), value);
    }
    return value;
}

std::int64_t toMs(WallTime time)
{
    return toMilliseconds(time.time_since_epoch());
}

FaultTarget part(std::string id)
{
    return { std::move(id), {}, std::string(platformZone) };
}

Json pageJson(const LogStore::Page &page)
{
    Json records = Json::array();
    for (const auto &record : page.records) {
        records.push_back({ { "offset", record.offset.value() },
                            { "data", net::toBase64(record.data) },
                            { "at_ms", toMs(record.appendedAt) } });
    }
    return { { "first", page.first }, { "next", page.next }, { "records", std::move(records) } };
}

Json vmJson(const Vm &vm)
{
    return {
        { "id", vm.id },
        { "kind", vm.kind },
        { "pool", vm.pool },
        { "zone", vm.zone },
        { "region", vm.region },
        { "address", vm.address },
        { "incarnation", vm.incarnation },
        { "state", vm.state },
    };
}

/** Decodes the records of an append; throws when it is malformed. */
std::vector<std::string> recordsFrom(const std::string &body)
{
    std::vector<std::string> records;
    const Json json = Json::parse(body);
    for (const auto &item : json.at("records")) {
        auto record = net::fromBase64(item.get<std::string>());
        if (!record) {
            throw std::invalid_argument(record.error().detail);
        }
        records.push_back(std::move(record).value());
    }
    return records;
}

} // namespace

PlatformHost::PlatformHost(net::EventLoop &loop, Faults &faults, const Settings &settings, WeightStore &weights)
    : loop_(loop)
    , settings_(settings)
    , weights_(weights)
    , log_(settings.log)
    , logGate_(loop, faults, part("log"))
    , vmsGate_(loop, faults, part("vms"))
    , weightsGate_(loop, faults, part("weights"))
{
    const Time first = loop_.clock().now() + expiryPeriod;
    expiryTimer_ = loop_.timers().every(first, expiryPeriod, [this](Time now) { expire(now); });
}

PlatformHost::~PlatformHost()
{
    loop_.timers().cancel(expiryTimer_);
}

void PlatformHost::serve(net::HttpRequest request, net::ResponseWriter writer)
{
    const std::string path(request.path());
    const bool isLog = path.starts_with("/log/");
    const bool isVms = path == "/vms";
    if (!isLog && !isVms && !path.starts_with("/weights/")) {
        writer.respond(net::status::notFound, {}, "");
        return;
    }
    Gate &gate = isLog ? logGate_ : (isVms ? vmsGate_ : weightsGate_);
    if (gate.takesRequest(request, writer)) {
        return;
    }
    delayed(gate, [this, isLog, isVms, request = std::move(request), writer]() mutable {
        if (isLog) {
            serveLog(std::move(request), std::move(writer));
        } else if (isVms) {
            serveVms(request, std::move(writer));
        } else {
            serveWeights(request, std::move(writer));
        }
    });
}

void PlatformHost::delayed(Gate &gate, std::function<void()> function)
{
    const auto slow = gate.faults().find(FaultKind::Slow, gate.target());
    if (!slow) {
        function();
        return;
    }
    const Time due = loop_.clock().now() + fromSeconds(slow->number(0) / 1000);
    loop_.timers().once(due, [function = std::move(function)](Time) { function(); });
}

void PlatformHost::serveLog(net::HttpRequest request, net::ResponseWriter writer)
{
    constexpr std::string_view prefix = "/log/";
    const std::string stream = net::percentDecode(request.path().substr(prefix.size()));
    if (request.method == "POST") {
        append(request, std::move(writer), stream);
    } else {
        read(std::move(request), std::move(writer), stream);
    }
}

void PlatformHost::append(const net::HttpRequest &request, net::ResponseWriter writer, const std::string &stream)
{
    std::vector<std::string> records;
    try {
        records = recordsFrom(request.body.text());
    } catch (const std::exception &error) {
        writer.respond(net::status::badRequest, {}, error.what());
        return;
    }
    if (records.empty() || records.size() > log::maxRecordsPerAppend) {
        writer.respond(net::status::badRequest, {}, "number of records");
        return;
    }
    const auto offsets = log_.append(stream, std::move(records), loop_.clock().now(), loop_.clock().wallNow());
    if (!offsets) {
        writer.respond(net::status::tooManyRequests, {}, "");
        return;
    }
    logGate_.respond(request.remoteAddress,
                     std::move(writer),
                     net::status::ok,
                     {},
                     Json::object({ { "offsets", *offsets } }).dump());
    wake(stream);
}

void PlatformHost::read(net::HttpRequest request, net::ResponseWriter writer, const std::string &stream)
{
    const Duration wait = std::min<Duration>(std::chrono::milliseconds(numberIn(request, "wait_ms", 0)), maxWait);
    const bool now = wait == Duration::zero() || waiting_.size() >= maxWaiting;
    if (!answerRead(request, writer, stream, now)) {
        waiting_.push_back({ std::move(request), std::move(writer), stream, loop_.clock().now() + wait });
    }
}

/** Answers a read when there is something to read, or in any case when `now`. @return whether it did */
bool PlatformHost::answerRead(const net::HttpRequest &request,
                              net::ResponseWriter writer,
                              const std::string &stream,
                              bool now)
{
    constexpr std::uint64_t maxRecords = 10'000;
    const auto count = std::min(numberIn(request, "max", 1000), maxRecords);
    const auto page = log_.read(stream, numberIn(request, "from", 0), count, loop_.clock().wallNow());
    if (page.records.empty() && !now) {
        return false;
    }
    logGate_.respond(request.remoteAddress, std::move(writer), net::status::ok, {}, pageJson(page).dump());
    return true;
}

void PlatformHost::wake(const std::string &stream)
{
    std::erase_if(waiting_, [&](const Waiting &waiting) {
        return waiting.stream == stream && answerRead(waiting.request, waiting.writer, stream, false);
    });
}

void PlatformHost::expire(Time now)
{
    std::erase_if(waiting_, [&](const Waiting &waiting) {
        if (!waiting.writer.isOpen()) {
            return true;
        }
        return now >= waiting.until && answerRead(waiting.request, waiting.writer, waiting.stream, true);
    });
    vms_.expire(now - settings_.vmExpiry, now);
}

void PlatformHost::serveVms(const net::HttpRequest &request, net::ResponseWriter writer)
{
    if (request.method == "POST") {
        registerVm(request, std::move(writer));
    } else {
        listVms(request, std::move(writer));
    }
}

void PlatformHost::registerVm(const net::HttpRequest &request, net::ResponseWriter writer)
{
    Vm vm;
    try {
        const Json json = Json::parse(request.body);
        vm.id = json.at("id").get<std::string>();
        vm.kind = json.value("kind", std::string("entry"));
        vm.zone = json.at("zone").get<std::string>();
        vm.region = json.value("region", std::string());
        vm.address = json.at("address").get<std::string>();
        vm.incarnation = json.at("incarnation").get<std::string>();
        vm.state = json.value("state", std::string("live"));
    } catch (const Json::exception &error) {
        writer.respond(net::status::badRequest, {}, error.what());
        return;
    }
    if (vm.kind != "entry" || vm.id.empty()) {
        writer.respond(net::status::badRequest, {}, "only entry VMs register");
        return;
    }
    const Time now = loop_.clock().now();
    vms_.put(vm, now);
    vms_.renew(vm.id, now);
    vmsGate_.respond(request.remoteAddress, std::move(writer), net::status::ok, {}, "");
}

void PlatformHost::listVms(const net::HttpRequest &request, net::ResponseWriter writer)
{
    Duration lag = settings_.vmLag;
    if (const auto fault = vmsGate_.faults().find(FaultKind::Lag, vmsGate_.target())) {
        lag = std::max(lag, fromSeconds(fault->number(0) / 1000));
    }
    Json vms = Json::array();
    for (const auto &[id, vm] : vms_.asOf(loop_.clock().now() - lag)) {
        vms.push_back(vmJson(vm));
    }
    const Json json = { { "as_of_ms", toMs(loop_.clock().wallNow() - lag) }, { "vms", std::move(vms) } };
    vmsGate_.respond(request.remoteAddress, std::move(writer), net::status::ok, {}, json.dump());
}

void PlatformHost::serveWeights(const net::HttpRequest &request, net::ResponseWriter writer)
{
    constexpr std::string_view prefix = "/weights/";
    const Time now = loop_.clock().now();
    const auto ready = weights_.fetch(net::percentDecode(request.path().substr(prefix.size())), now);
    if (!ready) {
        writer.respond(net::status::notFound, {}, "");
        return;
    }
    const Json json = { { "ready_in_ms", toMilliseconds(*ready - now) } };
    weightsGate_.respond(request.remoteAddress, std::move(writer), net::status::ok, {}, json.dump());
}

} // namespace lacewing::standin
