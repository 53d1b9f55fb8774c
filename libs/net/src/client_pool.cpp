#include "client_pool.h"

#include <algorithm>

namespace lacewing::net
{
namespace
{

constexpr Duration minSweepPeriod = std::chrono::milliseconds(50);

} // namespace

ClientPool::ClientPool(EventLoop &loop, HttpClientOptions options)
    : loop_(loop)
    , options_(std::move(options))
    , shared_(std::make_shared<Shared>())
{
    const Duration period = std::max(options_.keepIdle() / 4, minSweepPeriod);
    sweepTimer_ = loop_.timers().every(loop_.clock().now() + period, period, [this](Time now) { sweep(now); });
}

ClientPool::~ClientPool()
{
    loop_.timers().cancel(sweepTimer_);
    closeIdle();
}

ClientPool::ConnectionPtr ClientPool::takeIdle(const HttpCall &call)
{
    const auto found = shared_->addresses.find(call.address);
    if (found == shared_->addresses.end()) {
        return nullptr;
    }
    auto &idle = found->second.idle;
    // The connection used last comes first, so that those that are not needed grow old.
    for (auto entry = idle.end(); entry != idle.begin();) {
        --entry;
        const auto &candidate = *entry;
        const Duration age = loop_.clock().now() - candidate->idleSince();
        const Duration trusted =
            candidate->keptFor().value_or(call.repeatable ? options_.keepIdle() : options_.trustIdle());
        if (age > std::min(trusted, options_.keepIdle())) {
            return nullptr;
        }
        if (call.echo && candidate->carriedIds().contains(call.echo->value)) {
            auto info = candidate->info();
            info.echo = call.echo->value;
            options_.notify(ConnectionAvoided { info });
            continue;
        }
        auto connection = std::move(*entry);
        idle.erase(entry);
        --counters().idleConnections;
        return connection;
    }
    return nullptr;
}

bool ClientPool::makeRoom(const std::string &address)
{
    const auto oldestOf = [](Address &of) {
        const ConnectionPtr oldest = of.idle.front();
        oldest->close();
    };
    auto &own = shared_->addresses[address];
    if (own.open >= options_.maxPerAddress()) {
        if (own.idle.empty()) {
            return false;
        }
        oldestOf(own);
    }
    if (counters().openConnections < options_.maxConnections()) {
        return true;
    }
    const auto other = std::find_if(shared_->addresses.begin(), shared_->addresses.end(), [](const auto &entry) {
        return !entry.second.idle.empty();
    });
    if (other == shared_->addresses.end()) {
        return false;
    }
    oldestOf(other->second);
    return true;
}

ClientPool::ConnectionPtr ClientPool::open(const std::string &address)
{
    if (!makeRoom(address)) {
        return nullptr;
    }
    ++shared_->addresses[address].open;
    ++counters().openConnections;
    auto onGone = [shared = shared_, address] { gone(*shared, address); };
    return std::make_shared<ClientConnection>(
        loop_, options_, address, ConnectionNumber(++lastNumber_), std::move(onGone));
}

/** Drops closed connections from the idle ones, and the address when it has no connection left. */
void ClientPool::gone(Shared &shared, const std::string &address)
{
    --shared.value.openConnections;
    const auto found = shared.addresses.find(address);
    if (found == shared.addresses.end()) {
        return;
    }
    shared.value.idleConnections -=
        std::erase_if(found->second.idle, [](const ConnectionPtr &connection) { return !connection->isOpen(); });
    if (--found->second.open == 0) {
        shared.addresses.erase(found);
    }
}

void ClientPool::giveBack(ConnectionPtr connection)
{
    connection->release(loop_.clock().now());
    shared_->addresses[connection->address()].idle.push_back(std::move(connection));
    ++counters().idleConnections;
}

void ClientPool::discard(const ConnectionPtr &connection)
{
    if (connection && connection->isOpen()) {
        ++counters().discarded;
        connection->close();
    }
}

void ClientPool::abort(const ConnectionPtr &connection)
{
    if (connection && connection->isOpen()) {
        ++counters().discarded;
        connection->abort();
    }
}

void ClientPool::closeIdle(const std::string &address)
{
    const auto found = shared_->addresses.find(address);
    if (found == shared_->addresses.end()) {
        return;
    }
    for (const auto &connection : std::deque<ConnectionPtr>(found->second.idle)) {
        connection->close();
    }
}

void ClientPool::closeIdle()
{
    std::vector<std::string> all;
    for (const auto &[address, connections] : shared_->addresses) {
        all.push_back(address);
    }
    for (const auto &address : all) {
        closeIdle(address);
    }
}

void ClientPool::sweep(Time now)
{
    std::vector<ConnectionPtr> old;
    for (const auto &[address, connections] : shared_->addresses) {
        std::copy_if(
            connections.idle.begin(),
            connections.idle.end(),
            std::back_inserter(old),
            [&](const ConnectionPtr &connection) { return now - connection->idleSince() > options_.keepIdle(); });
    }
    for (const auto &connection : old) {
        connection->close();
    }
}

} // namespace lacewing::net
