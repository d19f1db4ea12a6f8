/// \file
/// Strict incremental parser that validates raw HTTP/1.1 bytes before evhttp
/// reads them. evhttp truncates heads at NUL, joins folded lines, ignores the body
/// of some methods and merges trailers into the headers; no such input reaches it.

#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "pimentoladder/Net/HttpMessage.h"
#include "pimentoladder/Outcome/Refusal.h"

namespace pimentoladder {

/// Reason for which a message was rejected.
struct http_violation {
    refusal_kind kind = refusal_kind::malformedRequest;
    std::string message;
};

/// Size limits of one message.
struct http_message_limits {
    std::size_t headBytes = 0; ///< Of the head, together with interim responses before it.
    std::uint64_t bodyBytes = 0;
};

/// How the end of a message body is determined.
enum class http_framing {
    none, ///< No body.
    length, ///< `Content-Length`.
    chunked, ///< `Transfer-Encoding: chunked`.
    untilClose, ///< Responses only: the body ends with the connection.
};

/// Parsing state of a message.
enum class http_progress {
    head,
    body,
    complete,
    violated,
};

/// Parses consecutive messages from raw bytes. It makes no system calls and
/// buffers only an incomplete head or chunk line.
/// Not thread-safe.
class http_message_parser {
public:
    /// Creates a parser for requests.
    static http_message_parser forRequests(http_message_limits limits);

    /// Creates a parser for responses. Interim responses (1xx) are dropped.
    static http_message_parser forResponses(http_message_limits limits);

    /// Parses \p bytes up to the end of the message. Body bytes, with the chunked
    /// coding removed, are appended to \p body. Trailers are dropped.
    /// Returns the number of bytes consumed, which is less than the size of
    /// \p bytes only if the message is complete or violated.
    std::size_t feed(std::string_view bytes, std::string& body);

    /// Signals the end of the input. Completes a body that is delimited by the
    /// end of the connection; leaves any other incomplete message as it is.
    void feedEnd();

    /// Prepares for the next message. \p requestMethod is the method that the
    /// response answers; a response to HEAD has no body.
    void reset(std::string_view requestMethod = {});

    http_progress progress() const { return m_progress; }
    http_framing framing() const { return m_framing; }

    /// Returns the violation. Precondition: `progress() == violated`.
    const http_violation& violation() const { return m_violation; }

    /// Returns the bytes of the message that the parser holds.
    std::size_t bufferedBytes() const { return m_raw.size() + m_head.size(); }

    /// Returns the declared length of the body; 0 if the head is incomplete or declares none.
    std::uint64_t announcedBytes() const { return m_progress != http_progress::head ? m_length.value_or(0) : 0; }

    /// Returns whether any byte of the message has been read.
    bool hasBegun() const { return m_hasBegun; }

    /// Returns whether the sender expects `100 Continue` before it sends the
    /// body. Valid once the head is complete.
    bool expectsContinue() const { return m_expectsContinue; }

    /// Returns whether the connection may carry another message. Valid once the
    /// head is complete.
    bool isPersistent() const { return m_isPersistent; }

    /// Returns the validated head in the normal form that is passed to evhttp: an
    /// origin-form target, no hop-by-hop headers but `Connection: close`, and for
    /// responses `Content-Length` or `Transfer-Encoding: chunked`. The head of a
    /// request declares no body, because evhttp does not read it. Valid once the
    /// head is complete.
    /// Returns the headers of the complete head, without those that concern one connection only.
    const http_headers& headers() const { return m_headers; }
    const std::string& head() const { return m_head; }

private:
    enum class body_part {
        data, ///< `m_remaining` bytes of the body or of one chunk.
        chunkSize, ///< The line before a chunk.
        chunkEnd, ///< The line break after a chunk.
        trailer, ///< Lines after the last chunk.
    };

    http_message_parser(bool readsRequests, http_message_limits limits);

    std::size_t feedHead(std::string_view bytes);
    std::size_t feedBody(std::string_view bytes, std::string& body);
    std::size_t feedData(std::string_view bytes, std::string& body);
    std::size_t feedChunkLine(std::string_view bytes);
    void parseChunkLine(std::string_view line);
    void parseChunkSize(std::string_view line);
    void endHead();
    bool checkLineBreaks(std::string_view text);
    bool parseStartLine(std::string_view line);
    bool parseRequestLine(std::string_view line);
    bool parseStatusLine(std::string_view line);
    bool parseTarget(std::string_view target);
    bool parseHeader(std::string_view line);
    bool parseContentLength(std::string_view value);
    bool parseHostHeader(std::string_view value);
    bool checkHead();
    bool chooseFraming();
    void buildNormalisedHead();
    void startBody();
    bool violate(refusal_kind kind, std::string message);

    bool m_readsRequests;
    http_message_limits m_limits;
    http_progress m_progress = http_progress::head;
    http_framing m_framing = http_framing::none;
    body_part m_part = body_part::data;
    http_violation m_violation;
    std::string m_raw; ///< The incomplete head, or an incomplete line of a chunked body.
    std::string m_head;
    std::string m_requestMethod;
    std::string m_method;
    std::string m_target;
    std::string m_authority; ///< From an absolute-form target; replaces `Host`.
    std::string m_reason;
    http_headers m_headers;
    std::optional<std::uint64_t> m_length;
    std::string m_transferEncoding;
    std::uint64_t m_remaining = 0;
    std::uint64_t m_bodyBytes = 0;
    std::size_t m_trailerBytes = 0;
    std::size_t m_interimBytes = 0; ///< Of the dropped interim responses; counts against the limit of the head.
    int m_minorVersion = 1;
    int m_status = 0;
    int m_hostCount = 0;
    bool m_hasBegun = false;
    bool m_expectsContinue = false;
    bool m_isPersistent = true;
};

}
