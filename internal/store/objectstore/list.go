package objectstore

import "context"

// ListPages lists a kind and calls visit for each page. Changes made between two pages may
// be missing from the pages; a watch from the first page's revision reports them.
func ListPages(ctx context.Context, store Store, kind string, freshness Freshness, visit func(Page)) error {
	after := ""
	for {
		page, err := store.List(ctx, kind, after, freshness)
		if err != nil {
			return err
		}
		visit(page)
		if !page.More || len(page.Objects) == 0 {
			return nil
		}
		after = page.Objects[len(page.Objects)-1].Name
	}
}

// ListAll lists a kind and returns all pages as one, at the first page's revision.
func ListAll(ctx context.Context, store Store, kind string, freshness Freshness) (Page, error) {
	var all Page
	err := ListPages(ctx, store, kind, freshness, func(page Page) {
		all.Objects = append(all.Objects, page.Objects...)
		if all.Revision == 0 {
			all.Revision = page.Revision
		}
	})
	if err != nil {
		return Page{}, err
	}
	return all, nil
}
