// Boost.Asio and Beast with the names that the router uses.
#ifndef ROUTER_INTERNAL_ASIO_H_
#define ROUTER_INTERNAL_ASIO_H_

// Boost 1.74 awaitable.hpp uses std::exchange without including <utility>.
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace bamboomount {

// g++ 12 destroys temporaries of a full expression twice or not at all when
// the expression holds co_await in a condition or passes them by value to the
// awaited coroutine (seen as crashes). Coroutines here therefore take
// references to named variables, and conditions use a named result.

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = boost::asio::ip::tcp;

// Completion token that stores the error in `error` instead of throwing.
inline auto RedirectError(error_code& error) {
  return asio::redirect_error(asio::use_awaitable, error);
}

}  // namespace bamboomount

#endif  // ROUTER_INTERNAL_ASIO_H_
