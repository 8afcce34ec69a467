#ifndef BASE_RESULT_H_
#define BASE_RESULT_H_

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/all_narrow.hpp>
#include <boost/outcome/success_failure.hpp>
#include <boost/outcome/try.hpp>

#include "base/error.h"

namespace bamboomount {

// Either a value or an Error. BOOST_OUTCOME_TRY(name, expression) declares
// `name` with the value of `expression` or returns its error.
template <typename T>
using Result = BOOST_OUTCOME_V2_NAMESPACE::
    basic_result<T, Error, BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

// Returns the value of a successful Result<void>.
inline auto Success() {
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

}  // namespace bamboomount

#endif  // BASE_RESULT_H_
