#ifndef BASE_RESPONSE_END_H_
#define BASE_RESPONSE_END_H_

#include <boost/asio/error.hpp>

namespace bamboomount {

// Whether a response that was read to its end may be the part before a reset of
// the connection. `write_error` is how writing the request ended so far.
//
// A response without a length is complete when its server closes the
// connection. If the connection is reset while the request is still being
// written, the write takes the error from the socket, and the next read sees an
// end like that of an orderly close. A write gets broken_pipe instead if the
// server had closed its side before the reset. `Parser` is a Boost.Beast
// parser.
template <typename Parser>
bool MayBeCutByReset(const Parser& parser,
                     const boost::system::error_code& write_error) {
  return parser.need_eof() && write_error &&
         write_error != boost::asio::error::broken_pipe;
}

}  // namespace bamboomount

#endif  // BASE_RESPONSE_END_H_
