#include "session.h"

#include <nghttp2/nghttp2.h>

#include <algorithm>
#include <array>

namespace lacewing::peer
{

namespace
{

constexpr std::size_t maxHeadBytes = 8'192;
constexpr std::int32_t streamWindowBytes = 1 << 18;
constexpr std::int32_t connectionWindowBytes = 1 << 22;
/** A body's sent part is cut off once it is this long. */
constexpr std::size_t compactBytes = 1 << 16;

std::vector<nghttp2_nv> toNghttp2(const net::Headers &headers)
{
    std::vector<nghttp2_nv> result;
    result.reserve(headers.size());
    for (const auto &header : headers) {
        // The library copies both and doesn't write to them.
        auto *name = reinterpret_cast<std::uint8_t *>(const_cast<char *>(header.name.data()));
        auto *value = reinterpret_cast<std::uint8_t *>(const_cast<char *>(header.value.data()));
        result.push_back({ name, value, header.name.size(), header.value.size(), NGHTTP2_NV_FLAG_NONE });
    }
    return result;
}

} // namespace

/** nghttp2's callbacks; the user data is the Session. */
struct Session::Callbacks {
    static Session &self(void *userData)
    {
        return *static_cast<Session *>(userData);
    }

    static bool startsMessage(const nghttp2_frame &frame)
    {
        return frame.hd.type == NGHTTP2_HEADERS
            && (frame.headers.cat == NGHTTP2_HCAT_REQUEST || frame.headers.cat == NGHTTP2_HCAT_RESPONSE);
    }

    static int onBeginHeaders(nghttp2_session *, const nghttp2_frame *frame, void *userData)
    {
        if (startsMessage(*frame)) {
            self(userData).heads_[frame->hd.stream_id] = {};
            self(userData).headBytes_[frame->hd.stream_id] = 0;
        }
        return 0;
    }

    static int onHeader(nghttp2_session *,
                        const nghttp2_frame *frame,
                        const std::uint8_t *name,
                        std::size_t nameLength,
                        const std::uint8_t *value,
                        std::size_t valueLength,
                        std::uint8_t,
                        void *userData)
    {
        if (!startsMessage(*frame)) {
            return 0;
        }
        auto &bytes = self(userData).headBytes_[frame->hd.stream_id];
        bytes += nameLength + valueLength;
        if (bytes > maxHeadBytes) {
            return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
        }
        self(userData).heads_[frame->hd.stream_id].push_back(
            { { reinterpret_cast<const char *>(name), nameLength },
              { reinterpret_cast<const char *>(value), valueLength } });
        return 0;
    }

    static int onFrame(nghttp2_session *, const nghttp2_frame *frame, void *userData)
    {
        auto &session = self(userData);
        const StreamId stream(frame->hd.stream_id);
        if (startsMessage(*frame)) {
            session.headBytes_.erase(stream.value());
            auto head = session.heads_.extract(stream.value());
            session.events_.emplace_back(StreamOpened { stream, head ? std::move(head.mapped()) : net::Headers {} });
        }
        const bool isBody = frame->hd.type == NGHTTP2_HEADERS || frame->hd.type == NGHTTP2_DATA;
        if (isBody && (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0) {
            session.events_.emplace_back(StreamEnded { stream });
        }
        const bool isAck = (frame->hd.flags & NGHTTP2_FLAG_ACK) != 0;
        if (frame->hd.type == NGHTTP2_SETTINGS && !isAck) {
            session.events_.emplace_back(SettingsReceived {});
        } else if (frame->hd.type == NGHTTP2_PING && isAck) {
            session.events_.emplace_back(PongReceived {});
        } else if (frame->hd.type == NGHTTP2_GOAWAY) {
            session.events_.emplace_back(GoAwayReceived {});
        }
        return 0;
    }

    static int onData(nghttp2_session *,
                      std::uint8_t,
                      std::int32_t stream,
                      const std::uint8_t *data,
                      std::size_t length,
                      void *userData)
    {
        self(userData).events_.emplace_back(
            StreamBytes { StreamId(stream), { reinterpret_cast<const char *>(data), length } });
        return 0;
    }

    static int onStreamClose(nghttp2_session *, std::int32_t stream, std::uint32_t code, void *userData)
    {
        auto &session = self(userData);
        session.heads_.erase(stream);
        session.headBytes_.erase(stream);
        session.bodies_.erase(stream);
        session.events_.emplace_back(StreamClosed { StreamId(stream), code == NGHTTP2_REFUSED_STREAM });
        return 0;
    }

    /** A GOAWAY with an error code is the library's last word after a connection error. */
    static int onFrameSent(nghttp2_session *, const nghttp2_frame *frame, void *userData)
    {
        if (frame->hd.type == NGHTTP2_GOAWAY && frame->goaway.error_code != NGHTTP2_NO_ERROR) {
            self(userData).isBroken_ = true;
        }
        return 0;
    }

    static ssize_t readBody(nghttp2_session *,
                            std::int32_t stream,
                            std::uint8_t *buffer,
                            std::size_t length,
                            std::uint32_t *flags,
                            nghttp2_data_source *,
                            void *userData)
    {
        auto &bodies = self(userData).bodies_;
        const auto found = bodies.find(stream);
        if (found == bodies.end()) {
            return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
        }
        Body &body = found->second;
        const auto size = std::min(length, body.pending.size() - body.taken);
        std::copy_n(body.pending.begin() + static_cast<std::ptrdiff_t>(body.taken), size, buffer);
        body.taken += size;
        const bool isAllTaken = body.taken == body.pending.size();
        if (isAllTaken || body.taken >= compactBytes) {
            body.pending.erase(0, body.taken);
            body.taken = 0;
        }
        if (isAllTaken && body.finished) {
            *flags |= NGHTTP2_DATA_FLAG_EOF;
            return static_cast<ssize_t>(size);
        }
        return size > 0 ? static_cast<ssize_t>(size) : ssize_t(NGHTTP2_ERR_DEFERRED);
    }

    static nghttp2_session *make(Role role, Session &session)
    {
        nghttp2_session_callbacks *callbacks = nullptr;
        nghttp2_session_callbacks_new(&callbacks);
        nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks, onBeginHeaders);
        nghttp2_session_callbacks_set_on_header_callback(callbacks, onHeader);
        nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, onFrame);
        nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, onData);
        nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, onStreamClose);
        nghttp2_session_callbacks_set_on_frame_send_callback(callbacks, onFrameSent);
        nghttp2_session *result = nullptr;
        if (role == Role::Server) {
            nghttp2_session_server_new(&result, callbacks, &session);
        } else {
            nghttp2_session_client_new(&result, callbacks, &session);
        }
        nghttp2_session_callbacks_del(callbacks);
        return result;
    }
};

Session::Session(Role role, std::size_t maxStreams)
    : role_(role)
    , session_(Callbacks::make(role, *this))
{
    const std::array settings {
        nghttp2_settings_entry { NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, static_cast<std::uint32_t>(maxStreams) },
        nghttp2_settings_entry { NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, streamWindowBytes },
        nghttp2_settings_entry { NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE, maxHeadBytes },
        nghttp2_settings_entry { NGHTTP2_SETTINGS_ENABLE_PUSH, 0 },
    };
    nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, settings.data(), settings.size());
    nghttp2_session_set_local_window_size(session_, NGHTTP2_FLAG_NONE, 0, connectionWindowBytes);
}

Session::~Session()
{
    nghttp2_session_del(session_);
}

Result<void> Session::receive(std::string_view bytes)
{
    const auto *data = reinterpret_cast<const std::uint8_t *>(bytes.data());
    const auto taken = nghttp2_session_mem_recv(session_, data, bytes.size());
    if (taken < 0 || static_cast<std::size_t>(taken) != bytes.size()) {
        return failure(ErrorKind::Malformed, nghttp2_strerror(static_cast<int>(taken)));
    }
    return success();
}

std::vector<SessionEvent> Session::takeEvents()
{
    return std::exchange(events_, {});
}

std::string Session::takeOutput(std::size_t most)
{
    std::string output;
    while (output.size() < most) {
        const std::uint8_t *data = nullptr;
        const auto size = nghttp2_session_mem_send(session_, &data);
        if (size <= 0) {
            break;
        }
        output.append(reinterpret_cast<const char *>(data), static_cast<std::size_t>(size));
    }
    return output;
}

Result<StreamId> Session::open(const net::Headers &headers)
{
    const auto fields = toNghttp2(headers);
    nghttp2_data_provider provider { {}, Callbacks::readBody };
    const auto stream = nghttp2_submit_request(session_, nullptr, fields.data(), fields.size(), &provider, nullptr);
    if (stream < 0) {
        return failure(ErrorKind::Unavailable, nghttp2_strerror(stream));
    }
    bodies_[stream] = {};
    return StreamId(stream);
}

void Session::respond(StreamId stream, const net::Headers &headers)
{
    const auto fields = toNghttp2(headers);
    nghttp2_data_provider provider { {}, Callbacks::readBody };
    if (nghttp2_submit_response(session_, stream.value(), fields.data(), fields.size(), &provider) == 0) {
        bodies_[stream.value()] = {};
    }
}

void Session::append(StreamId stream, std::string_view bytes)
{
    if (const auto found = bodies_.find(stream.value()); found != bodies_.end()) {
        found->second.pending += bytes;
        nghttp2_session_resume_data(session_, stream.value());
    }
}

void Session::finish(StreamId stream)
{
    if (const auto found = bodies_.find(stream.value()); found != bodies_.end()) {
        found->second.finished = true;
        nghttp2_session_resume_data(session_, stream.value());
    }
}

std::size_t Session::pendingBytes(StreamId stream) const
{
    const auto found = bodies_.find(stream.value());
    return found == bodies_.end() ? 0 : found->second.pending.size() - found->second.taken;
}

void Session::reset(StreamId stream)
{
    submitReset(stream, NGHTTP2_CANCEL);
}

void Session::refuse(StreamId stream)
{
    submitReset(stream, NGHTTP2_REFUSED_STREAM);
}

void Session::submitReset(StreamId stream, std::uint32_t code)
{
    nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, stream.value(), code);
}

void Session::ping()
{
    nghttp2_submit_ping(session_, NGHTTP2_FLAG_NONE, nullptr);
}

void Session::announceGoAway()
{
    if (role_ == Role::Server) {
        nghttp2_submit_shutdown_notice(session_);
    }
}

std::size_t Session::remoteMaxStreams() const
{
    return nghttp2_session_get_remote_settings(session_, NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS);
}

} // namespace lacewing::peer
