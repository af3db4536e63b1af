#ifndef QUETZALLOFT_QUOTA_WALLET_H
#define QUETZALLOFT_QUOTA_WALLET_H

/**
 * DOC: The tokens of quotas that a node holds, and the requests that wait for
 * one. The caller sends at most one call at a time to the leader of the
 * replicas. Times are those of ql_clock_boot_us(), read anew for each call of a
 * function, as the process may have been paused.
 */

#include "quetzalloft/quota_ledger.h"

G_BEGIN_DECLS

/** Most teams in one call to the leader. */
#define QL_QUOTA_ASKS_MAX 256u

/**
 * enum ql_quota_verdict - What a request gets.
 * @QL_QUOTA_TAKEN: it may run; with a token, which it has spent
 * @QL_QUOTA_WAIT: it has to wait for the answer of the leader
 * @QL_QUOTA_NONE: the quota of its team is used up
 */
typedef enum ql_quota_verdict {
	QL_QUOTA_TAKEN,
	QL_QUOTA_WAIT,
	QL_QUOTA_NONE,
} ql_quota_verdict_t;

/**
 * struct ql_quota_result - A verdict and its detail.
 * @verdict: the verdict
 * @end_us: end of the token that was taken; 0 if none was needed
 * @retry_us: time until the team may have a token, with QL_QUOTA_NONE
 */
typedef struct ql_quota_result {
	ql_quota_verdict_t verdict;
	uint64_t end_us;
	uint64_t retry_us;
} ql_quota_result_t;

typedef struct ql_quota_account ql_quota_account_t;

/**
 * struct ql_quota_waiter - A request that waits.
 * @link: its place in the queue of its team
 * @account: account of its team; NULL while it does not wait
 * @decided: called with QL_QUOTA_TAKEN or QL_QUOTA_NONE when it no longer
 *           waits; it may call any function but ql_quota_wallet_begin_ask()
 * @data: passed to @decided
 */
typedef struct ql_quota_waiter {
	GList link;
	ql_quota_account_t *account;
	void (*decided)(void *data, const ql_quota_result_t *result);
	void *data;
} ql_quota_waiter_t;

/**
 * struct ql_quota_usage - Counts of the requests of a team.
 * @used: requests that were let through, with a token or because the team has
 * no quota for now; without those whose token was put back
 * @refused: requests that the quota had no token for
 */
typedef struct ql_quota_usage {
	uint64_t used;
	uint64_t refused;
} ql_quota_usage_t;

/**
 * struct ql_quota_account - A team at this node.
 * @name: name of the team
 * @batches: the tokens held, by end
 * @waiters: &struct ql_quota_waiter in order
 * @none_before_us: the leader has no token before this time
 * @unlimited_until_us: until then requests need no token
 * @demand_per_s: moving mean of the requests of the team at this node
 * @demand_us: time of the last request
 * @usage: counts since they were last read
 */
struct ql_quota_account {
	char name[QL_NAME_MAX];
	GArray *batches;
	GQueue waiters;
	uint64_t none_before_us;
	uint64_t unlimited_until_us;
	double demand_per_s;
	uint64_t demand_us;
	ql_quota_usage_t usage;
};

/**
 * struct ql_quota_team_ask - What is asked for one team.
 * @team: name of the team
 * @ask: number of tokens
 */
typedef struct ql_quota_team_ask {
	char team[QL_NAME_MAX];
	ql_quota_ask_t ask;
} ql_quota_team_ask_t;

/**
 * struct ql_quota_wallet - The tokens of a node.
 * @accounts: &struct ql_quota_account by name
 * @wanted: a request has found that tokens should be asked for
 * @asking: a call to the leader is in flight
 * @asked: what that call asks for
 * @n_asked: number of elements of @asked
 * @asked_us: when it was sent
 * @next_ask_us: the next call is not sent before this time
 */
typedef struct ql_quota_wallet {
	GHashTable *accounts;
	bool wanted;
	bool asking;
	ql_quota_team_ask_t asked[QL_QUOTA_ASKS_MAX];
	size_t n_asked;
	uint64_t asked_us;
	uint64_t next_ask_us;
} ql_quota_wallet_t;

/**
 * ql_quota_wallet_init() - Initialize a wallet without tokens.
 * @wallet: the wallet
 */
void ql_quota_wallet_init(ql_quota_wallet_t *wallet);

/**
 * ql_quota_wallet_finish() - Free the accounts.
 * @wallet: the wallet, without waiting requests
 */
void ql_quota_wallet_finish(ql_quota_wallet_t *wallet);

/**
 * struct ql_quota_look - What a request of a team would meet.
 * @verdict: what ql_quota_wallet_take() would return
 * @unlimited: the team has no quota for now
 * @tokens: tokens held that have not ended
 * @retry_us: time until the leader has room again; 0 if not known
 */
typedef struct ql_quota_look {
	ql_quota_verdict_t verdict;
	bool unlimited;
	uint64_t tokens;
	uint64_t retry_us;
} ql_quota_look_t;

/**
 * ql_quota_wallet_look() - Tell what ql_quota_wallet_take() would return now,
 * without taking a token or counting a request.
 * @wallet: the wallet
 * @team: name of the team
 * @now_us: current time
 *
 * Return: what the request would meet.
 */
ql_quota_look_t ql_quota_wallet_look(const ql_quota_wallet_t *wallet,
				     const char *team, uint64_t now_us);

/**
 * ql_quota_wallet_take() - Take a token for a request, or begin to wait.
 * @wallet: the wallet
 * @team: name of the team
 * @waiter: the request, with @decided and @data set; it is queued if the
 *          verdict is QL_QUOTA_WAIT, until @decided is called or
 *          ql_quota_wallet_leave()
 * @now_us: the time
 *
 * Return: the result.
 */
ql_quota_result_t ql_quota_wallet_take(ql_quota_wallet_t *wallet,
				       const char *team,
				       ql_quota_waiter_t *waiter,
				       uint64_t now_us);

/**
 * ql_quota_wallet_leave() - End the wait of a request without a verdict.
 * @waiter: the request; nothing happens if it does not wait
 */
void ql_quota_wallet_leave(ql_quota_waiter_t *waiter);

/**
 * ql_quota_wallet_put_back() - Return the token of a request that was not sent
 * on.
 * @wallet: the wallet
 * @team: name of the team
 * @end_us: end of the token; 0 if the request needed none
 */
void ql_quota_wallet_put_back(ql_quota_wallet_t *wallet, const char *team,
			      uint64_t end_us);

/**
 * ql_quota_wallet_next_ask_us() - Tell when the leader has to be asked.
 * @wallet: the wallet
 *
 * Return: the time, which may be past; UINT64_MAX when nothing is wanted or a
 * call is in flight.
 */
uint64_t ql_quota_wallet_next_ask_us(const ql_quota_wallet_t *wallet);

/**
 * ql_quota_wallet_begin_ask() - Collect what to ask the leader for.
 * @wallet: the wallet, without a call in flight
 * @now_us: the time, read before the call is sent
 *
 * Return: true if a call has to be sent for &ql_quota_wallet.asked; it ends
 * with one of the functions below.
 */
bool ql_quota_wallet_begin_ask(ql_quota_wallet_t *wallet, uint64_t now_us);

/**
 * ql_quota_wallet_handle_reply() - Handle the answer of the leader.
 * @wallet: the wallet, with a call in flight
 * @grants: answers, in the order of &ql_quota_wallet.asked
 * @n_grants: number of @grants; teams without an answer get nothing
 * @validity_us: how long the tokens may be spent; at most QL_QUOTA_VALIDITY_US
 *               is used
 * @now_us: the time
 */
void ql_quota_wallet_handle_reply(ql_quota_wallet_t *wallet,
				  const ql_quota_grant_t *grants,
				  size_t n_grants, uint64_t validity_us,
				  uint64_t now_us);

/**
 * ql_quota_wallet_handle_failure() - Handle a call without an answer, or one
 * that a replica could not grant. The requests go on waiting.
 * @wallet: the wallet, with a call in flight
 * @retry_us: time until the next call
 * @now_us: the time
 */
void ql_quota_wallet_handle_failure(ql_quota_wallet_t *wallet,
				    uint64_t retry_us, uint64_t now_us);

G_END_DECLS

#endif
