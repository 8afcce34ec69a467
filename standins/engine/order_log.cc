#include "engine/order_log.h"

#include <algorithm>

#include "support/json_text.h"

namespace standin {

HttpReply OrderLog::Submit(const std::string& body) {
  HttpReply reply;
  nlohmann::json order = nlohmann::json::parse(body, nullptr, false);
  if (!order.is_object() || !order.contains("fencing_token") ||
      !order["fencing_token"].is_number_unsigned()) {
    reply.status = 400;
    reply.body = R"({"error":{"message":"an order needs a fencing_token"}})";
    return reply;
  }
  const std::uint64_t token = order["fencing_token"].get<std::uint64_t>();
  const bool accepted = !check_fencing_ || token >= highest_token_;
  highest_token_ = std::max(highest_token_, token);
  order["accepted"] = accepted;
  orders_.push_back(std::move(order));
  reply.status = accepted ? 202 : 409;
  reply.body = ToText(
      {{"accepted", accepted}, {"highest_fencing_token", highest_token_}});
  return reply;
}

HttpReply OrderLog::List() const {
  HttpReply reply;
  reply.body = ToText({{"orders", orders_}});
  return reply;
}

}  // namespace standin
