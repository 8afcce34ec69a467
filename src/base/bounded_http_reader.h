#ifndef BASE_BOUNDED_HTTP_READER_H_
#define BASE_BOUNDED_HTTP_READER_H_

#include <algorithm>
#include <cstddef>
#include <string_view>
// Boost 1.74 awaitable.hpp uses std::exchange without including <utility>.
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/compose.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

#include "base/chunked_body_scanner.h"
#include "base/http_head_scanner.h"

namespace bamboomount {

// Reads HTTP messages from a stream and bounds what is buffered before there is
// something to pass on: heads, chunk sizes, chunk extensions and trailers.
// Heads are checked by HttpHeadScanner before they are parsed, bodies in chunks
// by ChunkedBodyScanner.
//
// Errors of the input are those of Beast's HTTP category: header_limit for a
// head that is too large, buffer_overflow for chunk framing that is too large,
// bad_obs_fold, bad_line_ending and bad_value for a head that
// HttpHeadScanner rejects, bad_chunk for a body that ChunkedBodyScanner
// rejects, and those of the parser. Not thread-safe.
class BoundedHttpReader {
 public:
  using Error = boost::system::error_code;

  // Upper limit of every bound. Beast throws an exception for a field whose
  // value has 64 KiB.
  static constexpr std::size_t kMaxBytes = 65'536;

  // Prepares for the next message, of which at most `max_bytes` are buffered.
  // Bytes that have been received already are kept.
  void BeginMessage(std::size_t max_bytes);

  // Reads from the stream at most once, or not at all if the parser can proceed
  // with the bytes that are buffered, and parses what there is. Stops at the
  // end of the head, so that its reader can check it before the body. Completes
  // with an error and the number of bytes that the parser consumed, which may
  // be 0. The stream, the reader and the parser must stay valid until then.
  template <typename Stream, typename Parser, typename CompletionToken>
  auto ReadSome(Stream& stream, Parser& parser, CompletionToken&& token);

  // Bytes that were received and not parsed.
  std::size_t buffered_bytes() const { return buffer_.size(); }
  // Memory that the buffer occupies.
  std::size_t capacity() const { return buffer_.capacity(); }

 private:
  template <typename Stream, typename Parser>
  class ReadOperation;

  // Beast asserts that it gets at least this much of the last chunk, "0" with
  // its two empty lines, once it has seen its beginning.
  static constexpr std::size_t kMinFramingBytes = 5;

  // Scans the buffered part of a head. Returns its size once it is complete, 0
  // before.
  std::size_t ScanHead(Error& error);
  // Scans the bytes of a body in chunks that were not scanned yet. Returns
  // false, and sets the error, if they break the rules.
  bool ScanChunks(Error& error);
  template <typename Parser>
  std::size_t Parse(Parser& parser, Error& error);
  template <typename Parser>
  std::size_t ParseHead(Parser& parser, Error& error);
  template <typename Parser>
  std::size_t ParseBody(Parser& parser, Error& error);
  template <typename Parser>
  void EndInput(Parser& parser, Error& error) const;

  boost::beast::flat_buffer buffer_;
  HttpHeadScanner scanner_;
  std::size_t max_bytes_ = kMaxBytes;
  ChunkedBodyScanner chunks_;
  // The buffered bytes of a body in chunks that were scanned already.
  std::size_t scanned_bytes_ = 0;
  // The parser needs more bytes of a chunk's framing than it got.
  bool framing_is_incomplete_ = false;
};

template <typename Parser>
std::size_t BoundedHttpReader::Parse(Parser& parser, Error& error) {
  return parser.is_header_done() ? ParseBody(parser, error)
                                 : ParseHead(parser, error);
}

template <typename Parser>
std::size_t BoundedHttpReader::ParseHead(Parser& parser, Error& error) {
  const std::size_t size = ScanHead(error);
  if (error || size == 0)
    return 0;
  parser.header_limit(static_cast<std::uint32_t>(max_bytes_));
  const std::size_t used =
      parser.put(boost::asio::buffer(buffer_.data(), size), error);
  buffer_.consume(used);
  // The head is complete, so one that the parser finds incomplete has a line
  // that it does not understand.
  if (error == boost::beast::http::error::need_more)
    error = boost::beast::http::error::bad_line_ending;
  return used;
}

template <typename Parser>
std::size_t BoundedHttpReader::ParseBody(Parser& parser, Error& error) {
  if (parser.chunked() && !ScanChunks(error))
    return 0;
  std::size_t total = 0;
  while (!error && !parser.is_done() && buffer_.size() > 0) {
    if (framing_is_incomplete_ && buffer_.size() < kMinFramingBytes)
      break;
    const std::size_t used = parser.put(buffer_.data(), error);
    framing_is_incomplete_ = error == boost::beast::http::error::need_more;
    buffer_.consume(used);
    scanned_bytes_ -= std::min(scanned_bytes_, used);
    total += used;
  }
  if (error == boost::beast::http::error::need_more) {
    error = {};
    if (buffer_.size() >= buffer_.max_size())
      error = boost::beast::http::error::buffer_overflow;
  }
  return total;
}

template <typename Parser>
void BoundedHttpReader::EndInput(Parser& parser, Error& error) const {
  error = {};
  if (parser.is_header_done())
    parser.put_eof(error);
  else if (buffer_.size() > 0)
    error = boost::beast::http::error::partial_message;
  else
    error = boost::beast::http::error::end_of_stream;
}

// The steps of ReadSome().
template <typename Stream, typename Parser>
class BoundedHttpReader::ReadOperation {
 public:
  ReadOperation(BoundedHttpReader& reader, Stream& stream, Parser& parser)
      : reader_(reader), stream_(stream), parser_(parser) {}

  template <typename Self>
  void operator()(Self& self, Error error = {}, std::size_t size = 0) {
    switch (step_) {
      case Step::kStart:
        if (reader_.buffered_bytes() == 0)
          break;
        step_ = Step::kParseBuffered;
        boost::asio::post(stream_.get_executor(), std::move(self));
        return;
      case Step::kParseBuffered: {
        const std::size_t used = reader_.Parse(parser_, error);
        if (!error && used == 0)
          break;
        self.complete(error, used);
        return;
      }
      case Step::kReceived: {
        reader_.buffer_.commit(size);
        std::size_t used = 0;
        if (error == boost::asio::error::eof)
          reader_.EndInput(parser_, error);
        else if (!error)
          used = reader_.Parse(parser_, error);
        self.complete(error, used);
        return;
      }
    }
    Receive(self);
  }

 private:
  enum class Step { kStart, kParseBuffered, kReceived };

  template <typename Self>
  void Receive(Self& self) {
    const std::size_t size =
        boost::beast::read_size(reader_.buffer_, reader_.max_bytes_);
    if (size == 0) {
      self.complete(boost::beast::http::error::buffer_overflow, 0);
      return;
    }
    step_ = Step::kReceived;
    stream_.async_read_some(reader_.buffer_.prepare(size), std::move(self));
  }

  BoundedHttpReader& reader_;
  Stream& stream_;
  Parser& parser_;
  Step step_ = Step::kStart;
};

template <typename Stream, typename Parser, typename CompletionToken>
auto BoundedHttpReader::ReadSome(Stream& stream,
                                 Parser& parser,
                                 CompletionToken&& token) {
  return boost::asio::async_compose<CompletionToken, void(Error, std::size_t)>(
      ReadOperation<Stream, Parser>(*this, stream, parser), token, stream);
}

}  // namespace bamboomount

#endif  // BASE_BOUNDED_HTTP_READER_H_
