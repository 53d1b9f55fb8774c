#include "sink_adapters.h"

#include "json.h"

#include <deque>

namespace lacewing::daemon
{
namespace
{

/** Queues what a sink's slow reader can't take yet, in order. Used on one thread. */
class PatientSink final : public std::enable_shared_from_this<PatientSink>
{
public:
    explicit PatientSink(std::shared_ptr<AnswerSink> sink)
        : sink_(std::move(sink))
    {
    }

    /** Does something to the sink; false: the reader is behind and it is to be done again later. */
    using Step = std::function<bool(AnswerSink &)>;

    void take(Step step)
    {
        steps_.push_back(std::move(step));
        flush();
    }

private:
    void flush()
    {
        while (!waiting_ && !steps_.empty()) {
            if (!steps_.front()(*sink_)) {
                waiting_ = true;
                sink_->onReady([self = shared_from_this()] {
                    self->waiting_ = false;
                    self->flush();
                });
                return;
            }
            steps_.pop_front();
        }
    }

    std::shared_ptr<AnswerSink> sink_;
    std::deque<Step> steps_;
    bool waiting_ = false;
};

/** See makeThreadHop(). */
class ThreadHopSink final : public AnswerSink
{
public:
    ThreadHopSink(net::EventLoop &home, std::shared_ptr<AnswerSink> sink)
        : home_(home)
        , sink_(std::make_shared<PatientSink>(std::move(sink)))
    {
    }

    void accepted(const JobId &job) override
    {
        post([job](AnswerSink &sink) {
            sink.accepted(job);
            return true;
        });
    }
    bool piece(ByteOffset offset, const std::string &text) override
    {
        next_ = ByteOffset(offset.value() + text.size());
        post([offset, text](AnswerSink &sink) { return sink.piece(offset, text); });
        return true;
    }
    ByteOffset position() const override
    {
        return next_;
    }
    void finished(const core::JobStatus &status) override
    {
        post([status](AnswerSink &sink) {
            sink.finished(status);
            return true;
        });
    }
    void refused(const Refusal &refusal) override
    {
        post([refusal](AnswerSink &sink) {
            sink.refused(refusal);
            return true;
        });
    }
    void status(const std::optional<core::JobStatus> &status) override
    {
        post([status](AnswerSink &sink) {
            sink.status(status);
            return true;
        });
    }
    void statusJson(const std::string &json) override
    {
        post([json](AnswerSink &sink) {
            sink.statusJson(json);
            return true;
        });
    }
    void onReady(std::function<void()> /*callback*/) override
    {
    }

private:
    void post(PatientSink::Step step)
    {
        home_.post([sink = sink_, step = std::move(step)] { sink->take(step); });
    }

    net::EventLoop &home_;
    std::shared_ptr<PatientSink> sink_;
    ByteOffset next_;
};

/** See makePeerSink(). */
class PeerSink final : public AnswerSink
{
public:
    explicit PeerSink(peer::PeerCallWriter writer)
        : writer_(std::move(writer))
    {
    }

    void accepted(const JobId &job) override
    {
        writer_.write(encodePiece(AcceptedPiece { job }));
    }
    bool piece(ByteOffset offset, const std::string &text) override
    {
        if (writer_.write(encodePiece(TextPiece { offset, text })) == net::WriteOutcome::Full) {
            return false;
        }
        next_ = ByteOffset(offset.value() + text.size());
        return true;
    }
    ByteOffset position() const override
    {
        return next_;
    }
    void finished(const core::JobStatus &status) override
    {
        endWith(toPiece(status));
    }
    void refused(const Refusal &refusal) override
    {
        endWith(RefusedPiece { refusal.reason, refusal.ran, refusal.retryAfter });
    }
    void status(const std::optional<core::JobStatus> &status) override
    {
        if (status) {
            endWith(JsonPiece { jobStatusJson(*status, true) });
        } else {
            endWith(RefusedPiece { pipeline::FailureReason::OwnerLost, Ran::Unknown, Duration::zero() });
        }
    }
    void statusJson(const std::string &json) override
    {
        endWith(JsonPiece { json });
    }
    void onReady(std::function<void()> callback) override
    {
        writer_.onDrained(std::move(callback));
    }

private:
    void endWith(const PeerPiece &piece)
    {
        writer_.write(encodePiece(piece));
        writer_.end();
    }

    peer::PeerCallWriter writer_;
    ByteOffset next_;
};

} // namespace

std::shared_ptr<AnswerSink> makeThreadHop(net::EventLoop &home, std::shared_ptr<AnswerSink> sink)
{
    return std::make_shared<ThreadHopSink>(home, std::move(sink));
}

std::shared_ptr<AnswerSink> makePeerSink(peer::PeerCallWriter writer)
{
    return std::make_shared<PeerSink>(std::move(writer));
}

void giveToSink(const PeerPiece &piece, AnswerSink &sink)
{
    std::visit(Overloaded {
                   [&](const AcceptedPiece &each) { sink.accepted(each.job); },
                   [&](const TextPiece &each) { sink.piece(each.offset, each.text); },
                   [&](const RefusedPiece &each) {
                       sink.refused({ each.reason, each.ran, each.retryAfter });
                   },
                   [&](const FinishedPiece &each) { sink.finished(fromPiece(each)); },
                   [&](const JsonPiece &each) { sink.statusJson(each.json); },
               },
               piece);
}

} // namespace lacewing::daemon
