#include "gateway/duties/usage_delivery.h"

#include <boost/test/unit_test.hpp>

namespace bamboomount {
namespace {

constexpr FencingToken kFirstHolder(4);
constexpr FencingToken kSecondHolder(5);

BOOST_AUTO_TEST_SUITE(usage_delivery)

// Guards against usage that is lost with a holder: it received the counts but
// ended before it sealed them, and the instance never sent them to the next
// holder.
BOOST_AUTO_TEST_CASE(a_new_holder_must_receive_unsealed_windows_again) {
  UsageDelivery delivery;
  delivery.RecordReceived(kFirstHolder, WindowNumber(8));
  delivery.ObserveSealed(WindowNumber(6));
  BOOST_TEST(delivery.delivered_through() == WindowNumber(8));
  delivery.ObserveHolder(kSecondHolder);
  BOOST_TEST(delivery.delivered_through() == WindowNumber(6));
  delivery.RecordReceived(kSecondHolder, WindowNumber(7));
  BOOST_TEST(delivery.delivered_through() == WindowNumber(7));
}

// Guards against a receipt of an earlier holder that arrives late, for example
// because its process was paused, and is taken for one of the present holder.
BOOST_AUTO_TEST_CASE(a_late_receipt_of_an_earlier_holder_is_ignored) {
  UsageDelivery delivery;
  delivery.ObserveHolder(kSecondHolder);
  delivery.RecordReceived(kFirstHolder, WindowNumber(8));
  BOOST_TEST(delivery.delivered_through() == WindowNumber());
}

// Guards against delivered windows that are sent again for ever because
// messages arrive out of order.
BOOST_AUTO_TEST_CASE(delivered_windows_never_go_back) {
  UsageDelivery delivery;
  delivery.RecordReceived(kFirstHolder, WindowNumber(8));
  delivery.RecordReceived(kFirstHolder, WindowNumber(7));
  delivery.ObserveHolder(kFirstHolder);
  delivery.ObserveSealed(WindowNumber(3));
  delivery.ObserveSealed(WindowNumber(2));
  BOOST_TEST(delivery.delivered_through() == WindowNumber(8));
  BOOST_TEST(delivery.sealed_through() == WindowNumber(3));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount
