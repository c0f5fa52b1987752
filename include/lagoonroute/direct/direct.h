#pragma once

/**
 * Module direct: jobs without a record, managed by the entry that accepted them and run by upstreams under leases.
 *
 * DirectEntryCore makes the decisions of an entry, UpstreamCore those of the agent beside an upstream; neither uses
 * sockets or clocks. Depends on base, configuration and placement.
 */

#include <lagoonroute/direct/agentregistry.h>
#include <lagoonroute/direct/backlograte.h>
#include <lagoonroute/direct/capacityannouncer.h>
#include <lagoonroute/direct/capacityreservation.h>
#include <lagoonroute/direct/directentrycore.h>
#include <lagoonroute/direct/directjob.h>
#include <lagoonroute/direct/documentexchange.h>
#include <lagoonroute/direct/drainexchange.h>
#include <lagoonroute/direct/entrycontacts.h>
#include <lagoonroute/direct/entrylookup.h>
#include <lagoonroute/direct/hostclock.h>
#include <lagoonroute/direct/jobmemory.h>
#include <lagoonroute/direct/latenessbudget.h>
#include <lagoonroute/direct/linkmessages.h>
#include <lagoonroute/direct/reconnectschedule.h>
#include <lagoonroute/direct/reservationplan.h>
#include <lagoonroute/direct/retainedanswers.h>
#include <lagoonroute/direct/routetable.h>
#include <lagoonroute/direct/unconfirmedruns.h>
#include <lagoonroute/direct/upstreamcore.h>
#include <lagoonroute/direct/upstreamevents.h>
#include <lagoonroute/direct/upstreamlease.h>
#include <lagoonroute/direct/zonedrains.h>
