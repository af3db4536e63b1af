#ifndef QUETZALLOFT_TABLE_H
#define QUETZALLOFT_TABLE_H

/**
 * DOC: A table of rows of equal size that are referred to by handles. Each row
 * has a generation, which is incremented when the row is removed, so that the
 * handle of a removed row is detected as invalid. The generation has 12 bits:
 * an old handle is valid again once its row was reused 4096 times.
 */

#include "quetzalloft/types.h"

#include <stddef.h>

G_BEGIN_DECLS

/** Maximum number of rows: handles have 20 bits for the index. */
#define QL_TABLE_CAPACITY_MAX 1048575u

/**
 * struct ql_table - A table. Not thread-safe.
 * @rows: the rows
 * @generations: generation of each row, 12 bits
 * @live: whether each row is in use
 * @next_free: index of the next free row, by index of a free row
 * @row_bytes: size of a row in bytes
 * @capacity: number of rows allocated
 * @capacity_max: maximum of @capacity
 * @count: number of rows in use
 * @free_head: index of the first free row, or @capacity if there is none
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
 * ql_table_init() - Initialize an empty table.
 * @table: the table
 * @row_bytes: size of a row in bytes, above 0
 * @capacity_max: maximum number of rows, up to QL_TABLE_CAPACITY_MAX
 */
void ql_table_init(ql_table_t *table, size_t row_bytes, uint32_t capacity_max);

/**
 * ql_table_finish() - Release the memory of a table.
 * @table: the table
 */
void ql_table_finish(ql_table_t *table);

/**
 * ql_table_insert() - Insert a row of zeros.
 * @table: the table
 * @row: set to the row, which is valid until the next insertion; NULL if the
 *       table is full
 *
 * Return: handle of the row, or QL_HANDLE_NONE if the table is full.
 */
ql_handle_t ql_table_insert(ql_table_t *table, void **row);

/**
 * ql_table_get() - Find a row.
 * @table: the table
 * @handle: handle of the row
 *
 * Return: the row, valid until the next insertion; NULL if it was removed or
 * @handle is invalid.
 */
void *ql_table_get(const ql_table_t *table, ql_handle_t handle);

/**
 * ql_table_remove() - Remove a row.
 * @table: the table
 * @handle: handle of the row; an invalid one is ignored
 */
void ql_table_remove(ql_table_t *table, ql_handle_t handle);

/**
 * ql_table_next() - Iterate over the rows in use.
 * @table: the table
 * @cursor: state of the iteration; the caller initializes it to 0
 * @handle: set to the handle of the row
 *
 * Return: the next row, or NULL if there is none.
 */
void *ql_table_next(const ql_table_t *table, uint32_t *cursor,
		    ql_handle_t *handle);

G_END_DECLS

#endif
