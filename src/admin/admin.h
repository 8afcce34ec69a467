// Public header of the admin library: the server of the operators' interface,
// its client, and the operations that the serving process must implement.
#ifndef ADMIN_ADMIN_H_
#define ADMIN_ADMIN_H_

#include "admin/admin_client.h"
#include "admin/admin_server.h"
#include "admin/change_operations.h"
#include "admin/events.h"
#include "admin/fleet_operations.h"
#include "admin/operator_messages.h"

#endif  // ADMIN_ADMIN_H_
