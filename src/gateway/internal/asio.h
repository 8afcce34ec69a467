// Boost.Asio and Beast with the names that the gateway uses.
#ifndef GATEWAY_INTERNAL_ASIO_H_
#define GATEWAY_INTERNAL_ASIO_H_

// Boost 1.74 awaitable.hpp uses std::exchange without including <utility>.
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace bamboomount {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = boost::asio::ip::tcp;

}  // namespace bamboomount

#endif  // GATEWAY_INTERNAL_ASIO_H_
