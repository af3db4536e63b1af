#ifndef QUETZALLOFT_TABLE_H
#define QUETZALLOFT_TABLE_H

/**
 * DOC: A table of equal rows that are referred to by small handles. A handle
 * to a removed row stays invalid, since each row counts its generations.
 */

#include "quetzalloft/types.h"

#include <stddef.h>

G_BEGIN_DECLS

#define QL_TABLE_CAPACITY_MAX 1048575u

/**
 * struct ql_table - The table.
 * @rows: the rows
 * @generations: one counter a row
 * @live: whether a row is in use
 * @next_free: list of free rows
 * @row_bytes: size of a row
 * @capacity: rows allocated
 * @capacity_max: rows allowed
 * @count: rows in use
 * @free_head: first free row, or @capacity
 */
typedef struct ql_table {
	unsigned char *rows;
	uint16_t *generations;
	bool *live;
	uint32_t *next_free;
	size_t row_bytes;
	uint32_t capacity;
	uint32_t capacity_max;
	uint32_t count;
	uint32_t free_head;
} ql_table_t;

/**
 * ql_table_init() - Prepare an empty table.
 * @table: the table
 * @row_bytes: size of a row
 * @capacity_max: most rows that it may hold, up to QL_TABLE_CAPACITY_MAX
 */
void ql_table_init(ql_table_t *table, size_t row_bytes, uint32_t capacity_max);

void ql_table_finish(ql_table_t *table);

/**
 * ql_table_insert() - Take a free row, filled with zeros.
 * @table: the table
 * @row: where to store its address; it is valid until the next insert
 *
 * Return: its handle, or QL_HANDLE_NONE when the table is full.
 */
ql_handle_t ql_table_insert(ql_table_t *table, void **row);

/**
 * ql_table_get() - Find a row.
 * @table: the table
 * @handle: its handle
 *
 * Return: its address until the next insert, or NULL when it was removed.
 */
void *ql_table_get(const ql_table_t *table, ql_handle_t handle);

/**
 * ql_table_remove() - Free a row.
 * @table: the table
 * @handle: its handle; an invalid one is ignored
 */
void ql_table_remove(ql_table_t *table, ql_handle_t handle);

/**
 * ql_table_next() - Iterate over the rows in use.
 * @table: the table
 * @cursor: start at 0
 * @handle: the handle of the row found
 *
 * Return: the row, or NULL at the end.
 */
void *ql_table_next(const ql_table_t *table, uint32_t *cursor,
		    ql_handle_t *handle);

G_END_DECLS

#endif
