#include <net/net.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

namespace lacewing::net
{

/** One io_context with one asio timer, which is kept at the TimerService's next due time. */
class EventLoop::Impl
{
public:
    void run()
    {
        if (context_.stopped()) {
            context_.restart();
        }
        const auto work = boost::asio::make_work_guard(context_);
        armTimer();
        while (runOne() > 0) {
            armTimer();
        }
    }

    std::function<void(const std::exception &)> exceptionHandler;

    void armTimer()
    {
        const auto due = timers.nextDue();
        if (due == armedFor_) {
            return;
        }
        armedFor_ = due;
        if (!due) {
            timer_.cancel();
            return;
        }
        timer_.expires_after(std::max(*due - clock.now(), Duration::zero()));
        timer_.async_wait([this](const boost::system::error_code &error) {
            if (!error) {
                armedFor_.reset();
                timers.advance(clock.now());
            }
        });
    }

    SystemClock clock;
    TimerService timers;

    boost::asio::io_context &context() noexcept
    {
        return context_;
    }

private:
    std::size_t runOne()
    {
        if (!exceptionHandler) {
            return context_.run_one();
        }
        try {
            return context_.run_one();
        } catch (const std::exception &error) {
            exceptionHandler(error);
            return 1;
        }
    }

    static constexpr int oneThread = 1;
    boost::asio::io_context context_ { oneThread };
    boost::asio::steady_timer timer_ { context_ };
    std::optional<Time> armedFor_;
};

EventLoop::EventLoop()
    : impl_(std::make_unique<Impl>())
{
}

EventLoop::~EventLoop() = default;

void EventLoop::run()
{
    impl_->run();
}

void EventLoop::setExceptionHandler(std::function<void(const std::exception &)> handler)
{
    impl_->exceptionHandler = std::move(handler);
}

void EventLoop::stop()
{
    impl_->context().stop();
}

void EventLoop::post(std::function<void()> function)
{
    boost::asio::post(impl_->context(), std::move(function));
}

const Clock &EventLoop::clock() const noexcept
{
    return impl_->clock;
}

TimerService &EventLoop::timers() noexcept
{
    return impl_->timers;
}

boost::asio::io_context &EventLoop::ioContext() noexcept
{
    return impl_->context();
}

} // namespace lacewing::net
