#include "fleet_state.h"

#include <algorithm>
#include <memory>

/** The part of FleetState that knows the software versions of endpoints, and whether its view is current. */
namespace lacewing::gateway
{
namespace
{

/** VMs that are asked at the same time for the present registrations: one of them may be frozen or cut off. */
constexpr std::size_t maxAskedReaders = 2;
/** Covers a read of the store by the VM that is asked. */
constexpr peer::CallLimits readerCallLimits { 150ms, 700ms, 700ms, 900ms };
/** Attempts to confirm the registrations, and the time between them. A VM that wakes up has links to make anew. */
constexpr int maxViewChecks = 4;
constexpr Duration viewCheckInterval = 200ms;
constexpr std::size_t maxReaderResponseBytes = std::size_t(4) << 20U;

/** Minimum interval between confirmations after a stall: longer than one takes if nobody responds. */
constexpr Duration stallConfirmationInterval = 5s;
/** Time for which requests wait for a confirmation. A read of the store takes some ms, and is repeated when the
 * connections did not survive the stall. */
constexpr Duration maxConfirmationWait = 1s;
/** Time between attempts to confirm the desired state within it. */
constexpr Duration stateCheckInterval = 100ms;

} // namespace

/** Takes over versions that have served before this VM started. */
void FleetState::applySoftwareVersions(std::string_view service, const std::string &value)
{
    const routing::ServiceId id { std::string(service) };
    auto &stored = storedVersions_[id];
    stored.clear();
    for (std::string_view rest = value; !rest.empty();) {
        const auto end = std::min(rest.find('\n'), rest.size());
        const std::string version(rest.substr(0, end));
        stored.insert(version.empty() ? std::nullopt : std::optional(routing::SoftwareVersion(version)));
        rest.remove_prefix(std::min(end + 1, rest.size()));
    }
    if (!areVmsLoaded_) {
        for (const auto &version : stored) {
            endpoints_.addEndedVersion(id, version, context_.now());
        }
    }
}

/**
 * Stores the versions of engines, so that VMs that start later know of those that have ended. A version that is the
 * only one is stored as well: another may take its place while no VM lives.
 */
void FleetState::storeSoftwareVersions()
{
    if (!isLoaded() || !areVmsLoaded_ || !isViewCurrent()) {
        return;
    }
    storedVersionsRevision_ = endpoints_.revision();
    if (!links_.isResponsible("software versions", 1)) {
        return;
    }
    for (const auto &service : routes_->state().services) {
        const auto &versions = endpoints_.versions(service->id);
        auto &stored = storedVersions_[service->id];
        if (!service->engine || versions.empty() || versions == stored) {
            continue;
        }
        stored = versions;
        std::string value;
        for (const auto &version : versions) {
            value += (version ? version->text() : std::string()) + "\n"; // an empty line is an unknown version
        }
        context_.logger.state("software versions stored",
                              { { "service", service->id }, { "versions", versions.size() } });
        store_.put(std::string(softwareVersionsKeyPrefix) + service->id.text(), value);
    }
}

bool FleetState::isViewCurrent() const
{
    const auto found = topics_.find(userplatform::Topic::Endpoints);
    const bool isStoreLost = found != topics_.end() && found->second.isStoreLost;
    // A VM that has just started has read all registrations a moment ago.
    const bool hasJustStarted = !isReaderRoleKnown_ || context_.now() < readersExpectedUntil_;
    return endpointRecords_.isLoaded() && !isViewStalled_
        && (readsStore_ || hasJustStarted ? !isStoreLost : hasActiveReader());
}

void FleetState::confirmEndpoints(std::function<void(bool isCurrent)> onDone)
{
    viewCheck_.request([this, onDone = std::move(onDone)](bool isCurrent) {
        isViewStalled_ = isViewStalled_ && !isCurrent;
        onDone(isCurrent);
    });
}

/** Has the view confirmed after this process stood still, until that succeeds. */
void FleetState::detectStall()
{
    const Time now = context_.now();
    if (const auto lateness = stallDetector_.update(timeSinceBoot())) {
        isViewStalled_ = true;
        isDesiredStateStalled_ = true;
        nextStallConfirmationAt_ = now;
        confirmationAwaitedUntil_ = now + maxConfirmationWait;
        context_.logger.warn("process stood still", { { "ms", toMilliseconds(*lateness) } });
        context_.loop.timers().once(confirmationAwaitedUntil_, [this](Time) { releaseWaiting(); });
    }
    const bool isConfirmed = !isViewStalled_ && !isDesiredStateStalled_;
    if (isConfirmed || now < nextStallConfirmationAt_) {
        return;
    }
    nextStallConfirmationAt_ = now + stallConfirmationInterval;
    confirmEndpoints([this](bool isCurrent) {
        context_.logger.state("registrations confirmed after a stall", { { "current", isCurrent } });
        releaseWaiting();
    });
    confirmDesiredState();
}

void FleetState::confirmDesiredState()
{
    stateCheck_.request([this](bool isCurrent) {
        if (isCurrent) {
            isDesiredStateStalled_ = false;
            context_.logger.state("desired state confirmed after a stall", {});
            releaseWaiting();
        } else if (context_.now() < confirmationAwaitedUntil_) {
            askReaders(userplatform::Topic::Operator, [](bool) {}); // for the evacuations
            context_.loop.timers().once(context_.now() + stateCheckInterval, [this](Time) { confirmDesiredState(); });
        }
    });
}

bool FleetState::isConfirmationPending()
{
    detectStall();
    return (isViewStalled_ || isDesiredStateStalled_) && context_.now() < confirmationAwaitedUntil_;
}

void FleetState::onConfirmed(std::function<void()> function)
{
    waiting_.push_back(std::move(function));
    releaseWaiting();
}

/** Lets the requests go on that wait for a confirmation, unless it is still to come. */
void FleetState::releaseWaiting()
{
    if (isConfirmationPending()) {
        return;
    }
    for (auto &function : std::exchange(waiting_, {})) {
        context_.loop.post(std::move(function)); // one by one, so that an exception of one doesn't end the others
    }
}

void FleetState::startViewCheck(const CoalescedCheck::Outcome &onDone)
{
    checkView(maxViewChecks, onDone);
}

void FleetState::checkView(int remainingChecks, const CoalescedCheck::Outcome &onDone)
{
    const auto onAnswered = [this, remainingChecks, onDone](bool isCurrent) {
        if (isCurrent || remainingChecks <= 1) {
            onDone(isCurrent);
            return;
        }
        context_.loop.timers().once(context_.now() + viewCheckInterval,
                                    [this, remainingChecks, onDone](Time) { checkView(remainingChecks - 1, onDone); });
    };
    storeCheck_.request([this, onAnswered](bool isCurrent) {
        if (isCurrent) {
            onAnswered(true);
        } else {
            askReaders(userplatform::Topic::Endpoints, onAnswered);
        }
    });
}

/** Asks VMs that read the store, those of the own zone first; the first response that arrives decides. */
void FleetState::askReaders(userplatform::Topic topic, CoalescedCheck::Outcome onDone)
{
    std::vector<VmId> readers;
    for (const auto &id : links_.members(std::nullopt)) {
        const auto *vm = links_.find(id);
        if (vm == nullptr || !vm->heartbeat.isReadingStore) {
            continue;
        }
        const bool knowsEvacuations = vm->heartbeat.evacuationsEndOffset != 0; // else of an earlier version
        if (topic != userplatform::Topic::Operator || knowsEvacuations) {
            readers.push_back(id);
        }
    }
    std::stable_partition(
        readers.begin(), readers.end(), [&](const VmId &vm) { return links_.zoneOf(vm) == context_.settings.zone; });
    readers.resize(std::min(readers.size(), maxAskedReaders));
    if (readers.empty()) {
        onDone(false);
        return;
    }
    struct Question {
        std::size_t pending = 0;
        CoalescedCheck::Outcome onDone;

        void answer(bool isCurrent)
        {
            --pending;
            if (onDone && (isCurrent || pending == 0)) {
                std::exchange(onDone, {})(isCurrent);
            }
        }
    };
    const auto question = std::make_shared<Question>(Question { readers.size(), std::move(onDone) });
    const RecordsRequest request { topic, replica(topic).end().packed(), true, true };
    for (const auto &vm : readers) {
        BulkHandlers handlers;
        handlers.onReceived = [this, request, vm, question](const std::string &bytes) {
            const auto response = wire::decode<RecordsResponse>(bytes);
            if (response) {
                applyPeerRecords(request, response.value());
            } else {
                context_.logger.warn("malformed records", { { "vm", vm }, { "error", response.error().detail } });
            }
            question->answer(bool(response));
        };
        handlers.onFailed = [this, topic, vm, question](const Error &error, std::size_t) {
            context_.logger.warn("records not confirmed by vm",
                                 { { "topic", topicName(topic) }, { "vm", vm }, { "error", toText(error.kind) } });
            question->answer(false);
        };
        requestBulk(links_,
                    vm,
                    encodeMessage(MessageKind::Records, request),
                    maxReaderResponseBytes,
                    readerCallLimits,
                    std::move(handlers));
    }
}

std::optional<routing::SoftwareVersion> FleetState::soleVersion(const routing::ServiceId &service,
                                                                bool isConfirmed) const
{
    return areVmsLoaded_ && (isConfirmed || isViewCurrent()) ? endpoints_.soleVersion(service) : std::nullopt;
}

} // namespace lacewing::gateway
