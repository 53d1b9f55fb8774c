#pragma once

#include "answer_sink.h"
#include "json.h"

#include <net/net.h>

namespace lacewing::daemon
{

/** Answers with a problem document. */
void respondProblem(net::ResponseWriter &writer, const Problem &problem);
/** Answers with JSON. */
void respondJson(net::ResponseWriter &writer, int status, const std::string &body);

/** Answers one HTTP request with the whole answer as JSON, or with a problem. */
class WholeAnswerSink final : public AnswerSink
{
public:
    explicit WholeAnswerSink(net::ResponseWriter writer)
        : writer_(std::move(writer))
    {
    }

    void accepted(const JobId &job) override;
    bool piece(ByteOffset offset, const std::string &text) override;
    ByteOffset position() const override
    {
        return next_;
    }
    void finished(const core::JobStatus &status) override;
    void refused(const Refusal &refusal) override;
    void status(const std::optional<core::JobStatus> & /*status*/) override
    {
    }
    void statusJson(const std::string & /*json*/) override
    {
    }
    void onReady(std::function<void()> callback) override;

private:
    net::ResponseWriter writer_;
    std::string output_;
    ByteOffset next_;
};

/** Answers one HTTP request with server-sent events whose ids are byte offsets. */
class StreamSink final : public AnswerSink
{
public:
    explicit StreamSink(net::ResponseWriter writer)
        : writer_(std::move(writer))
    {
    }

    void accepted(const JobId &job) override;
    bool piece(ByteOffset offset, const std::string &text) override;
    ByteOffset position() const override
    {
        return next_;
    }
    void finished(const core::JobStatus &status) override;
    void refused(const Refusal &refusal) override;
    void status(const std::optional<core::JobStatus> & /*status*/) override
    {
    }
    void statusJson(const std::string & /*json*/) override
    {
    }
    void onReady(std::function<void()> callback) override;

private:
    net::ResponseWriter writer_;
    bool begun_ = false;
    ByteOffset next_;
    std::string partial_; ///< start of a UTF-8 sequence whose rest is still to come
};

/** Answers one HTTP request with the state of a job. */
class StatusSink final : public AnswerSink
{
public:
    StatusSink(net::ResponseWriter writer, bool withDecisions)
        : writer_(std::move(writer))
        , withDecisions_(withDecisions)
    {
    }

    void accepted(const JobId & /*job*/) override
    {
    }
    bool piece(ByteOffset /*offset*/, const std::string & /*text*/) override
    {
        return true;
    }
    ByteOffset position() const override
    {
        return {};
    }
    void finished(const core::JobStatus &status) override;
    void refused(const Refusal &refusal) override;
    void status(const std::optional<core::JobStatus> &status) override;
    void statusJson(const std::string &json) override;
    void onReady(std::function<void()> /*callback*/) override
    {
    }

private:
    net::ResponseWriter writer_;
    bool withDecisions_;
};

} // namespace lacewing::daemon
