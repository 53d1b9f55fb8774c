#include <base/base.h>

namespace lacewing
{

CoalescedCheck::CoalescedCheck(std::function<void(Outcome)> check)
    : check_(std::move(check))
{
}

void CoalescedCheck::request(Outcome onDone)
{
    waiting_.push_back(std::move(onDone));
    if (!isRunning_) {
        start();
    }
}

void CoalescedCheck::start()
{
    isRunning_ = true;
    running_ = std::exchange(waiting_, {});
    check_([this](bool passed) { finish(passed); });
}

void CoalescedCheck::finish(bool passed)
{
    isRunning_ = false;
    const auto answered = std::exchange(running_, {});
    if (!waiting_.empty()) {
        start();
    }
    for (const auto &onDone : answered) {
        onDone(passed);
    }
}

} // namespace lacewing
