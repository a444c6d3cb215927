package undocumented

func Exported() {}
