// Public header of the provider library: interfaces to the platform's table
// service, object store, orders, usage reports and instance list, and the
// exchange of one request and response that they are built on.
#ifndef PROVIDER_PROVIDER_H_
#define PROVIDER_PROVIDER_H_

#include "provider/backend_orders.h"
#include "provider/http_backend_orders.h"
#include "provider/http_exchange.h"
#include "provider/http_instance_directory.h"
#include "provider/http_object_store.h"
#include "provider/http_table_store.h"
#include "provider/http_usage_reports.h"
#include "provider/in_memory_table_store.h"
#include "provider/instance_directory.h"
#include "provider/object_store.h"
#include "provider/table_store.h"
#include "provider/transaction.h"
#include "provider/usage_recorder.h"
#include "provider/usage_reports.h"
#include "provider/usage_rows.h"
#include "provider/usage_totals.h"
#include "provider/usage_window_settings.h"
#include "provider/wire.h"

#endif  // PROVIDER_PROVIDER_H_
