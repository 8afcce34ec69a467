// Public header of the gateway library: an entry instance that serves callers
// over HTTP and shares its state through the platform's store.
#ifndef GATEWAY_GATEWAY_H_
#define GATEWAY_GATEWAY_H_

#include "gateway/control/async_table_store.h"
#include "gateway/control/backend_observer.h"
#include "gateway/control/config_observer.h"
#include "gateway/control/duty_client.h"
#include "gateway/control/duty_lease_manager.h"
#include "gateway/control/duty_runner.h"
#include "gateway/control/http_channel.h"
#include "gateway/control/instance_registrar.h"
#include "gateway/control/member_observer.h"
#include "gateway/control/state_decoder.h"
#include "gateway/control/table_names.h"
#include "gateway/control/usage_writer.h"
#include "gateway/discovery_protocol.h"
#include "gateway/events.h"
#include "gateway/forwarding/dispatcher.h"
#include "gateway/forwarding/endpoint.h"
#include "gateway/forwarding/message_protocol.h"
#include "gateway/forwarding/request_target.h"
#include "gateway/gateway_server.h"
#include "gateway/gateway_state.h"
#include "gateway/instance_settings.h"
#include "gateway/replication/fleet_gossip_handler.h"
#include "gateway/replication/gossip_exchange.h"
#include "gateway/replication/store_watch_coordinator.h"
#include "gateway/replication/table_follower.h"
#include "gateway/streams/peer_stream_origins.h"

#endif  // GATEWAY_GATEWAY_H_
