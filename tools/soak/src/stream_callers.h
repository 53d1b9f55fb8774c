#pragma once

#include <harness.h>

#include <memory>

namespace lacewing::soak
{

/** Tries at VMs in touch, and those of them that brought an event. */
struct Tries {
    std::size_t sent = 0;
    std::size_t succeeded = 0;

    double share() const noexcept
    {
        return sent > 0 ? double(succeeded) / double(sent) : 1;
    }
};

/**
 * Callers of streams that last long, and that they take up again at any VM when they break off.
 *
 * Each event tells its stream, its number and the software version that wrote it.
 */
class StreamCallers
{
public:
    /** Time without a fault after which a VM is in touch (stable-window-ms). */
    static constexpr Duration settleTime = std::chrono::seconds(3);

    /** @param disturbedAt returns when a VM last had a fault, or started */
    StreamCallers(gateway_test::Harness &harness,
                  std::size_t vms,
                  std::uint64_t seed,
                  std::function<Time(std::size_t vm)> disturbedAt);
    ~StreamCallers();
    StreamCallers(const StreamCallers &) = delete;
    StreamCallers &operator=(const StreamCallers &) = delete;

    void start();
    /** Lets streams that are under way end, and begins no others. */
    void stop()
    {
        isStopped_ = true;
    }
    std::size_t pending() const noexcept
    {
        return pending_;
    }
    /** Returns how many streams began, of the tries at VMs in touch. */
    const Tries &begun() const noexcept
    {
        return begun_;
    }
    /** Returns how many streams went on, of the tries at VMs in touch that have had a fault since the stream began. */
    const Tries &takenUp() const noexcept
    {
        return takenUp_;
    }
    /** Returns broken promises: events of two versions, or that are missing, repeated or of another stream. */
    const std::vector<std::string> &broken() const noexcept
    {
        return broken_;
    }

private:
    struct Stream;

    void begin();
    void send(const std::shared_ptr<Stream> &stream);
    void takeEvent(Stream &stream, const net::SseEvent &event);
    void endTry(const std::shared_ptr<Stream> &stream, bool isComplete);

    gateway_test::Harness &harness_;
    std::size_t vms_;
    Random random_;
    std::function<Time(std::size_t vm)> disturbedAt_;
    net::HttpClient client_;
    std::size_t streams_ = 0;
    std::size_t pending_ = 0;
    bool isStopped_ = false;
    Tries begun_;
    Tries takenUp_;
    std::vector<std::string> broken_;
};

} // namespace lacewing::soak
