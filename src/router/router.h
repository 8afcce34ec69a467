// Public header of the router library, which forwards HTTP requests of callers
// to backend servers.
#ifndef ROUTER_ROUTER_H_
#define ROUTER_ROUTER_H_

#include "router/backend_load_poller.h"
#include "router/events.h"
#include "router/router_options.h"
#include "router/router_server.h"

#endif  // ROUTER_ROUTER_H_
