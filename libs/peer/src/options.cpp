#include <peer/peer.h>

namespace lacewing::peer
{

PeerOptions &PeerOptions::identity(PeerIdentity identity)
{
    identity_ = std::move(identity);
    return *this;
}

PeerOptions &PeerOptions::tls(KeyFiles files)
{
    keyFiles_ = std::move(files);
    return *this;
}

PeerOptions &PeerOptions::plain()
{
    isPlain_ = true;
    return *this;
}

PeerOptions &PeerOptions::maxMessageBytes(std::size_t bytes)
{
    maxMessageBytes_ = bytes;
    return *this;
}

PeerOptions &PeerOptions::maxStreams(std::size_t count)
{
    maxStreams_ = count;
    return *this;
}

PeerOptions &PeerOptions::maxConnections(std::size_t count)
{
    maxConnections_ = count;
    return *this;
}

PeerOptions &PeerOptions::maxQueuedMessages(std::size_t count)
{
    maxQueuedMessages_ = count;
    return *this;
}

PeerOptions &PeerOptions::maxQueuedCalls(std::size_t count)
{
    maxQueuedCalls_ = count;
    return *this;
}

PeerOptions &PeerOptions::maxPendingBytes(std::size_t bytes)
{
    maxPendingBytes_ = bytes;
    return *this;
}

PeerOptions &PeerOptions::pingAfter(Duration time)
{
    pingAfter_ = time;
    return *this;
}

PeerOptions &PeerOptions::pingDeadline(Duration time)
{
    pingDeadline_ = time;
    return *this;
}

PeerOptions &PeerOptions::connectTime(Duration time)
{
    connectTime_ = time;
    return *this;
}

PeerOptions &PeerOptions::idleTime(Duration time)
{
    idleTime_ = time;
    return *this;
}

} // namespace lacewing::peer
