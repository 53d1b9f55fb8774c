#include "fleet_state.h"

#include <algorithm>

namespace lacewing::gateway
{
namespace
{

using userplatform::StoreRecord;
using userplatform::Topic;

/** For the desired state: changes are rare and must be in force within two seconds. */
constexpr userplatform::WatchOptions operatorTimes { 1500ms, 0ms, 150ms };
/** For endpoints: they write often, so several records are taken at a time. */
constexpr userplatform::WatchOptions endpointTimes { 1500ms, 350ms, 150ms };
/** For the VMs' own addresses, which beacons tell too. */
constexpr userplatform::WatchOptions vmTimes { 20s, 5s, 500ms };
/** VMs that follow the store for all: the loss of some leaves others, and the store's price is small. */
constexpr std::size_t readerCount = 3;
/** Until the other VMs should have been heard after a start, each reads the store for itself. */
constexpr Duration firstReaderChoice = 500ms;
/** Who reads is looked at this often: about as often as beacons come. */
constexpr Duration readerPeriod = 200ms;
/** Another VM is asked this often at most for what the store doesn't tell. */
constexpr Duration askPeriod = 300ms;
/** Entries that lapsed during an outage are looked at this often. */
constexpr Duration expiryPeriod = 200ms;
constexpr peer::CallLimits recordLimits { 300ms, 500ms, 500ms, 1s };

std::string_view nameOf(Topic topic)
{
    switch (topic) {
    case Topic::Operator:
        return "operator";
    case Topic::Endpoints:
        return "endpoints";
    case Topic::Vms:
        break;
    }
    return "vms";
}

} // namespace

FleetState::FleetState(Context &context, FleetLinks &links, std::function<void()> onChanged)
    : context_(context)
    , links_(links)
    , onChanged_(std::move(onChanged))
    , store_(context.loop, context.settings.storeAddress)
    , endpoints_(context.settings.reregistrationPeriod)
{
}

void FleetState::start()
{
    watch(Topic::Operator, operatorTimes);
    watch(Topic::Endpoints, endpointTimes);
    const auto &settings = context_.settings;
    store_.put(settings.vm.text(), settings.zone.text() + " " + links_.address());
    watch(Topic::Vms, vmTimes);
    context_.loop.timers().every(context_.now() + firstReaderChoice, readerPeriod, [this](Time) { chooseReaders(); });
    context_.loop.timers().every(context_.now() + expiryPeriod, expiryPeriod, [this](Time now) { expire(now); });
}

void FleetState::leave(std::function<void()> whenDone)
{
    store_.remove(context_.settings.vm.text(), std::move(whenDone));
}

void FleetState::watch(Topic topic, const userplatform::WatchOptions &times)
{
    userplatform::TopicHandlers handlers;
    handlers.onSnapshot = [this, topic](const std::vector<StoreRecord> &all, LogOffset end) {
        take(topic, all, end.value(), true);
    };
    handlers.onRecords = [this, topic](const std::vector<StoreRecord> &records, LogOffset end) {
        const std::uint64_t before = mirrors_[topic].end;
        if (end.value() > before) {
            push(topic, before, records);
        }
        take(topic, records, end.value(), false);
    };
    handlers.onUnavailable = [this, topic](const std::string &why) {
        mirrors_[topic].lost = true;
        updateView();
        if (topic == Topic::Endpoints) {
            endpoints_.onRegistryLost(context_.now());
        }
        context_.logger.warn("store lost", { { "topic", nameOf(topic) }, { "why", why } });
    };
    handlers.onRecovered = [this, topic] {
        mirrors_[topic].lost = false;
        updateView();
        if (topic == Topic::Endpoints) {
            endpoints_.onRegistryRestored(context_.now());
        }
        context_.logger.state("store back", { { "topic", nameOf(topic) } });
    };
    store_.watch(topic, times, std::move(handlers));
}

void FleetState::take(Topic topic, const std::vector<StoreRecord> &records, std::uint64_t end, bool isAll)
{
    Mirror &mirror = mirrors_[topic];
    if (isAll && topic == Topic::Endpoints) {
        std::vector<EndpointId> present;
        for (const auto &record : records) {
            present.emplace_back(record.key);
        }
        endpoints_.retain(present, context_.now());
        endpointsKnown_ = true;
    }
    if (isAll) {
        markRemoved(mirror, records, end);
    }
    for (const auto &record : records) {
        auto &newest = mirror.newest[record.key];
        if (newest.key.empty() || newest.offset <= record.offset) {
            newest = record;
            takeRecord(topic, record);
        }
    }
    mirror.end = std::max(mirror.end, end);
    changed();
}

/** Keys that a snapshot lacks were removed before its end; kept as removals, so that other VMs hear of them. */
void FleetState::markRemoved(Mirror &mirror, const std::vector<StoreRecord> &present, std::uint64_t end)
{
    for (auto &[key, newest] : mirror.newest) {
        const bool isPresent = std::any_of(
            present.begin(), present.end(), [&, name = key](const auto &record) { return record.key == name; });
        if (!isPresent && newest.value && newest.offset.value() < end) {
            newest.value.reset();
            newest.offset = LogOffset(end - 1);
        }
    }
}

void FleetState::takeRecord(Topic topic, const StoreRecord &record)
{
    switch (topic) {
    case Topic::Operator:
        takeDesiredState(record);
        break;
    case Topic::Endpoints:
        takeEndpoint(record);
        break;
    case Topic::Vms:
        takeVm(record);
        break;
    }
}

void FleetState::takeDesiredState(const StoreRecord &record)
{
    if (record.key != userplatform::desiredStateKey || !record.value) {
        return;
    }
    auto state = userplatform::parseDesiredState(*record.value);
    if (!state) {
        context_.logger.error("desired state not understood",
                              { { "offset", record.offset }, { "why", state.error().detail } });
        return;
    }
    const auto version = state.value().version;
    if (routes_ && version <= routes_->state().version) {
        return;
    }
    routes_ = std::make_shared<const routing::RouteTable>(std::move(state.value()));
    context_.logger.state("desired state in force",
                          { { "version", version },
                            { "routes", routes_->state().routes.size() },
                            { "services", routes_->state().services.size() } });
}

void FleetState::takeEndpoint(const StoreRecord &record)
{
    const EndpointId id(record.key);
    auto change = routing::DirectoryChange::None;
    if (record.value) {
        const auto entry = userplatform::parseEndpointEntry(record.key, *record.value);
        if (!entry) {
            // Such an entry names no endpoint that can be used.
            context_.logger.warn("endpoint entry not understood",
                                 { { "endpoint", id }, { "why", entry.error().detail } });
            change = endpoints_.remove(id, context_.now());
        } else {
            change = endpoints_.update(entry.value(), context_.now());
        }
    } else {
        change = endpoints_.remove(id, context_.now());
    }
    switch (change) {
    case routing::DirectoryChange::Joined:
        context_.logger.state("endpoint joined", { { "endpoint", id }, { "offset", record.offset } });
        break;
    case routing::DirectoryChange::Draining:
        context_.logger.state("endpoint leaving", { { "endpoint", id }, { "offset", record.offset } });
        break;
    case routing::DirectoryChange::Removed:
        context_.logger.state("endpoint gone", { { "endpoint", id }, { "offset", record.offset } });
        break;
    case routing::DirectoryChange::None:
    case routing::DirectoryChange::Updated:
        break;
    }
}

void FleetState::takeVm(const StoreRecord &record)
{
    const VmId vm(record.key);
    const auto space = record.value ? record.value->find(' ') : std::string::npos;
    if (space == std::string::npos) {
        links_.forget(vm);
        return;
    }
    links_.know(vm, AvailabilityZoneId(record.value->substr(0, space)), record.value->substr(space + 1));
}

void FleetState::expire(Time now)
{
    if (endpoints_.expire(now) > 0) {
        context_.logger.state("endpoints gone", { { "why", "not registered again after an outage of the store" } });
        changed();
    }
}

void FleetState::changed()
{
    updateView();
    onChanged_();
}

void FleetState::updateView()
{
    const bool answered = !mirrors_[Topic::Operator].lost && !mirrors_[Topic::Endpoints].lost;
    links_.setView(routes_ ? routes_->state().version.value() : 0,
                   mirrors_[Topic::Operator].end,
                   mirrors_[Topic::Endpoints].end,
                   follows_ && answered && isKnown());
}

/** One of the VMs that read the store for all. */
bool FleetState::isReader() const
{
    const auto members = links_.members(std::nullopt);
    std::vector<std::string> names;
    names.reserve(members.size());
    for (const auto &vm : members) {
        names.push_back(vm.text());
    }
    const auto chosen = rendezvous("store", names, readerCount);
    return std::any_of(
        chosen.begin(), chosen.end(), [&](std::size_t index) { return names[index] == context_.settings.vm.text(); });
}

/** Another VM that reads the store tells what it reads, and this one has all of it. */
bool FleetState::isServedByReaders() const
{
    const auto members = links_.members(std::nullopt);
    return std::any_of(members.begin(), members.end(), [&](const VmId &id) {
        const auto *vm = links_.find(id);
        return vm != nullptr && vm->beacon.followsStore;
    });
}

void FleetState::chooseReaders()
{
    const bool follows = !isKnown() || isReader() || !isServedByReaders();
    if (follows != follows_) {
        follows_ = follows;
        context_.logger.state("store reading", { { "active", follows } });
        updateView();
    }
    if (!follows && mirrors_[Topic::Endpoints].lost) {
        // Those that read the store for this VM have its answers: what they pushed is as good as read.
        endpoints_.onRegistryRestored(context_.now());
    }
    for (const Topic topic : { Topic::Operator, Topic::Endpoints }) {
        mirrors_[topic].lost = mirrors_[topic].lost && follows;
        store_.setActive(topic, follows, LogOffset(mirrors_[topic].end));
    }
}

void FleetState::push(Topic topic, std::uint64_t after, const std::vector<StoreRecord> &records)
{
    if (topic == Topic::Vms || !follows_ || !isReader()) {
        return;
    }
    RecordsPush push { topic, after, {} };
    for (const auto &record : records) {
        push.records.records.push_back({ record.key, record.offset.value(), !record.value, record.value.value_or("") });
        push.records.end = std::max(push.records.end, record.offset.value() + 1);
    }
    links_.sendToAll(envelope(MessageKind::RecordsPush, push));
}

void FleetState::pushed(const VmId &vm, const RecordsPush &push)
{
    const Topic topic = push.topic;
    if (topic != Topic::Operator && topic != Topic::Endpoints) {
        return;
    }
    const Mirror &mirror = mirrors_[topic];
    if (push.records.end <= mirror.end) {
        return;
    }
    if (push.after > mirror.end) {
        askPeer(topic, vm); // some records between were not heard
        return;
    }
    takeFromPeer(topic, push.records);
}

void FleetState::takeFromPeer(Topic topic, const RecordsAnswer &answer)
{
    std::vector<StoreRecord> records;
    for (const auto &record : answer.records) {
        auto value = record.isRemoval ? std::nullopt : std::optional(record.value);
        records.push_back({ record.key, LogOffset(record.offset), std::move(value) });
    }
    std::sort(records.begin(), records.end(), [](const auto &a, const auto &b) { return a.offset < b.offset; });
    take(topic, records, answer.end, false);
}

void FleetState::heard(const VmId &vm, const Beacon &beacon)
{
    const std::uint64_t version = routes_ ? routes_->state().version.value() : 0;
    const Mirror &operators = mirrors_[Topic::Operator];
    if ((beacon.stateVersion > version || beacon.operatorEnd > operators.end)
        && (operators.lost || !routes_ || !follows_)) {
        askPeer(Topic::Operator, vm);
    }
    const Mirror &endpoints = mirrors_[Topic::Endpoints];
    if (beacon.endpointsEnd > endpoints.end && (endpoints.lost || !endpointsKnown_ || !follows_)) {
        askPeer(Topic::Endpoints, vm);
    }
}

void FleetState::askPeer(Topic topic, const VmId &vm)
{
    Mirror &mirror = mirrors_[topic];
    const Time now = context_.now();
    if (mirror.askedPeerAt && now - *mirror.askedPeerAt < askPeriod) {
        return;
    }
    mirror.askedPeerAt = now;
    const RecordsRequest request { topic, mirror.end };
    peer::CallHandlers handlers;
    handlers.onData = [this, topic, vm](const std::string &message) {
        const auto answer = wire::decode<RecordsAnswer>(message);
        if (!answer) {
            context_.logger.warn("records not understood", { { "vm", vm }, { "why", answer.error().detail } });
            return;
        }
        context_.logger.state(
            "records from another vm",
            { { "topic", nameOf(topic) }, { "vm", vm }, { "records", answer.value().records.size() } });
        if (topic == Topic::Endpoints) {
            endpointsKnown_ = true;
        }
        takeFromPeer(topic, answer.value());
    };
    links_.call(vm, envelope(MessageKind::Records, request), recordLimits, std::move(handlers));
}

void FleetState::answer(const RecordsRequest &request, peer::PeerCallWriter writer) const
{
    RecordsAnswer answer;
    const auto mirror = mirrors_.find(request.topic);
    if (mirror != mirrors_.end()) {
        answer.end = mirror->second.end;
        for (const auto &[key, record] : mirror->second.newest) {
            if (record.offset.value() >= request.after) {
                answer.records.push_back({ key, record.offset.value(), !record.value, record.value.value_or("") });
            }
        }
    }
    writer.write(wire::encode(answer));
    writer.end();
}

} // namespace lacewing::gateway
