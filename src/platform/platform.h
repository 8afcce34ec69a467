// Public header of the platform library: interfaces to the platform's table
// service, object store, orders, usage reports and instance list.
#ifndef PLATFORM_PLATFORM_H_
#define PLATFORM_PLATFORM_H_

#include "platform/backend_orders.h"
#include "platform/http_backend_orders.h"
#include "platform/http_instance_directory.h"
#include "platform/http_object_store.h"
#include "platform/http_table_store.h"
#include "platform/http_usage_reports.h"
#include "platform/in_memory_table_store.h"
#include "platform/instance_directory.h"
#include "platform/object_store.h"
#include "platform/table_store.h"
#include "platform/transaction.h"
#include "platform/usage_figures.h"
#include "platform/usage_recorder.h"
#include "platform/usage_reports.h"
#include "platform/usage_rows.h"
#include "platform/usage_window_settings.h"
#include "platform/wire.h"

#endif  // PLATFORM_PLATFORM_H_
