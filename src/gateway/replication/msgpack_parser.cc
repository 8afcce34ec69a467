#include "gateway/replication/msgpack_parser.h"

#include <stdexcept>
#include <string>

namespace bamboomount {
namespace {

using Json = nlohmann::json;

// Builds the value and ends the parse at a level that is too deep.
class BoundedBuilder : public nlohmann::detail::json_sax_dom_parser<Json> {
 public:
  using Base = nlohmann::detail::json_sax_dom_parser<Json>;

  explicit BoundedBuilder(Json& value) : Base(value, false) {}

  // Instances send whole numbers only. The conversion of another one to an
  // integer may be undefined.
  bool number_float(double /*value*/, const std::string& /*text*/) {
    return false;
  }
  bool start_object(std::size_t size) {
    return ++depth_ <= kMaxMsgpackDepth && Base::start_object(size);
  }
  bool end_object() {
    --depth_;
    return Base::end_object();
  }
  bool start_array(std::size_t size) {
    return ++depth_ <= kMaxMsgpackDepth && Base::start_array(size);
  }
  bool end_array() {
    --depth_;
    return Base::end_array();
  }

 private:
  std::size_t depth_ = 0;
};

}  // namespace

Json ParseMsgpack(const std::uint8_t* data, std::size_t size) {
  Json value;
  BoundedBuilder builder(value);
  const bool parsed = Json::sax_parse(data, data + size, &builder,
                                      Json::input_format_t::msgpack);
  if (!parsed)
    throw std::runtime_error(
        "malformed MessagePack, or not as instances send it");
  return value;
}

}  // namespace bamboomount
